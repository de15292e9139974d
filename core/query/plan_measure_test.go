package query_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	planRounds   = 1000
	planBatches  = 41
	manyVersions = 38
	fewVersions  = 8
)

// planState returns a state with a model of the given number of versions and with servers that have
// one version each, in turn.
func planState(versions, servers int) state.State {
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

// BenchmarkMeasurePlan reports the time of one plan for different numbers of known backend servers,
// and its ratio to the time with ten servers.
func BenchmarkMeasurePlan(b *testing.B) {
	for _, versions := range []int{fewVersions, manyVersions} {
		for _, age := range []time.Duration{0, 24 * time.Hour} {
			baseline := 0.0
			for _, servers := range []int{10, 100, 1000, 10000} {
				b.Run(fmt.Sprintf("versions=%d/age=%v/servers=%d", versions, age, servers), func(b *testing.B) {
					nanos := measurePlan(b, withRatings(planState(versions, servers), "spelling", "llm/v7", 90, 10, start), start.Add(age))
					if baseline == 0 {
						baseline = nanos
					}
					b.ReportMetric(nanos/baseline, "of-10-servers")
				})
			}
		}
	}
}

// measurePlan returns the time of one plan in nanoseconds, as the median over batches, which other
// load on the machine disturbs least.
func measurePlan(b *testing.B, s state.State, now time.Time) float64 {
	r := request("spelling", 1)
	r.Deadline = now.Add(time.Minute)
	a, err := query.Admit(s, r, now)
	if err != nil {
		b.Fatal(err)
	}
	planOnce := func() {
		if _, err := query.ChoosePlan(s, a, r, now); err != nil {
			b.Fatal(err)
		}
	}
	allocs := testing.AllocsPerRun(100, planOnce)
	// Collect the garbage of the set-up, so that it does not count in the measurement.
	runtime.GC()
	var nanos []float64
	for range planBatches * b.N {
		began := time.Now()
		for range planRounds {
			planOnce()
		}
		nanos = append(nanos, float64(time.Since(began).Nanoseconds())/planRounds)
	}
	slices.Sort(nanos)
	median := nanos[len(nanos)/2]
	b.ReportMetric(median, "ns/plan")
	b.ReportMetric(allocs, "allocs/plan")
	b.ReportMetric(0, "ns/op")
	return median
}
