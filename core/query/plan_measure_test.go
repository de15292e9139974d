package query_test

import (
	"fmt"
	"testing"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	planRounds    = 20000
	planVersions  = 38
	versionsOfOne = 8
)

// crowd returns a state with the servers and a model of so many versions.
func crowd(versions, servers int) state.State {
	d := value.Document{ClientAccounts: []value.ClientAccount{{Name: "ward-12", Kinds: []value.KindName{"spelling"}}}}
	m := value.Model{Name: "llm"}
	for i := range versions {
		v := value.Version{Name: fmt.Sprint("v", i), InputMicros: int64(100 + 10*i), OutputMicros: int64(300 + 30*i), Quality: 0.6 + 0.01*float64(i)}
		m.Versions = append(m.Versions, v)
		d.ClientAccounts[0].Versions = append(d.ClientAccounts[0].Versions, m.Key(v.Name))
	}
	d.Models = []value.Model{m}
	d.Kinds = []value.Kind{{
		Name: "spelling", Model: "llm", QualityTarget: 0.65, Idempotent: true, MaxTokens: 500,
		Judge: value.Judge{CostMicros: 10, AcceptGood: 0.9, AcceptBad: 0.1},
	}}
	s := installed(d)
	for i := range servers {
		s = s.WithServer(value.BackendServer{
			ID: value.ServerID(fmt.Sprint("s", i)), State: value.ServerLive,
			Versions: []value.VersionKey{m.Key(m.Versions[i%versions].Name)},
		})
	}
	return s
}

// BenchmarkMeasurePlan reports what one plan costs, by the backend servers known to the instance.
func BenchmarkMeasurePlan(b *testing.B) {
	for _, versions := range []int{versionsOfOne, planVersions} {
		for _, servers := range []int{10, 100, 1000, 10000} {
			s := crowd(versions, servers)
			s = rated(s, "spelling", "llm/v7", 90, 10, start)
			a, err := query.Admit(s, request("spelling", 1), start)
			if err != nil {
				b.Fatal(err)
			}
			for _, age := range []time.Duration{0, 24 * time.Hour} {
				b.Run(fmt.Sprintf("versions=%d/servers=%d/age=%v", versions, servers, age), func(b *testing.B) {
					measurePlan(b, s, a, start.Add(age))
				})
			}
		}
	}
}

func measurePlan(b *testing.B, s state.State, a query.Admitted, now time.Time) {
	r := request("spelling", 1)
	r.Deadline = now.Add(time.Minute)
	one := func() {
		if _, err := query.Choose(s, a, r, now); err != nil {
			b.Fatal(err)
		}
	}
	allocs := testing.AllocsPerRun(100, one)
	b.ResetTimer()
	for range b.N {
		for range planRounds {
			one()
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*planRounds), "ns/plan")
	b.ReportMetric(allocs, "allocs/plan")
	b.ReportMetric(0, "ns/op")
}
