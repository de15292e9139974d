package state_test

import (
	"fmt"
	"testing"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	kindCount = 20
	rounds    = 20
)

func stateWithCandidates(versions, accounts int) state.State {
	m := value.Model{Name: "llm"}
	a := value.ClientAccount{}
	for i := range versions {
		v := value.Version{Name: fmt.Sprint("v", i), Quality: 0.6 + 0.01*float64(i), InputMicros: int64(i + 1), OutputMicros: int64(i + 1)}
		m.Versions = append(m.Versions, v)
		a.Versions = append(a.Versions, m.Key(v.Name))
	}
	d := value.Document{Models: []value.Model{m}}
	for i := range kindCount {
		k := value.Kind{Name: value.KindName(fmt.Sprint("k", i)), Model: "llm", QualityTarget: 0.8, Idempotent: true, MaxTokens: 500}
		k.Judge = value.Judge{AcceptGood: 0.9, AcceptBad: 0.1}
		d.Kinds = append(d.Kinds, k)
		a.Kinds = append(a.Kinds, k.Name)
	}
	for i := range accounts {
		a.Name = value.AccountName(fmt.Sprint("a", i))
		d.ClientAccounts = append(d.ClientAccounts, a)
	}
	return state.New(value.Instance{ID: "a"}).WithConfig(value.AcceptedDocument{Document: d, Revision: 1})
}

// BenchmarkMeasureCandidates reports the time that the control goroutine needs to apply a rating, a step
// of a roll-out and a new document, by the numbers of versions of a model and of client accounts.
func BenchmarkMeasureCandidates(b *testing.B) {
	for _, versions := range []int{8, 38} {
		for _, accounts := range []int{10, 100, 1000} {
			s := stateWithCandidates(versions, accounts)
			steps := map[string]func(){
				"us/rating":   func() { s.WithRating(value.Rating{Kind: "k1", Version: "llm/v1"}).WithCandidates("k1") },
				"us/step":     func() { s.WithProgress(value.Progress{Name: "r", Version: "llm/v1", Phase: value.PhaseDone}) },
				"us/document": func() { s.WithConfig(s.Config) },
			}
			b.Run(fmt.Sprintf("versions=%d/accounts=%d", versions, accounts), func(b *testing.B) {
				for unit, step := range steps {
					began := time.Now()
					for range b.N * rounds {
						step()
					}
					b.ReportMetric(float64(time.Since(began).Microseconds())/float64(b.N*rounds), unit)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
