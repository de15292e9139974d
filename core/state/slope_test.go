package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// BenchmarkSlopeServers reports the memory of a state with n backend servers, each with one of 38
// versions loaded, and the time to apply two changes of one server.
func BenchmarkSlopeServers(b *testing.B) {
	for _, n := range []int{100, 1000, 3000, 10000} {
		b.Run(fmt.Sprintf("Servers%d", n), func(b *testing.B) {
			before := heap()
			s := state.New(value.Instance{ID: "self"})
			for i := range n {
				s = s.WithServer(server(i))
			}
			stateKB := float64(heap()-before) / 1024
			for b.Loop() {
				s = s.WithServer(server(n/2).WithState(value.ServerLeaving, server(0).Since))
				s = s.WithServer(server(n / 2))
			}
			b.ReportMetric(stateKB, "KB-state")
		})
	}
}

func server(i int) value.BackendServer {
	return value.BackendServer{
		ID:            value.ServerID(fmt.Sprintf("replica-%05d", i)),
		Address:       fmt.Sprintf("http://10.%d.%d.%d:8000", i/65536, i/256%256, i%256),
		Pool:          value.PoolName(fmt.Sprintf("pool-%d", i%8)),
		FailureDomain: value.FailureDomain(fmt.Sprintf("domain-%d", i%8)),
		Versions:      []value.VersionKey{value.VersionKey(fmt.Sprintf("model-%d/v1", i%38))},
		State:         value.ServerLive,
	}
}

// BenchmarkSlopeAccounts reports the memory of a state with n client accounts, and the time to put a
// document with that many in force.
func BenchmarkSlopeAccounts(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("Accounts%d", n), func(b *testing.B) {
			empty := state.New(value.Instance{ID: "self"})
			before := heap()
			s := empty.WithConfig(documentWithAccounts(n))
			stateKB := float64(heap()-before) / 1024
			a := documentWithAccounts(n)
			for b.Loop() {
				s = s.WithConfig(a)
			}
			b.ReportMetric(stateKB, "KB-state")
		})
	}
}

func documentWithAccounts(accounts int) value.AcceptedDocument {
	var d value.Document
	m := value.Model{Name: "model"}
	var keys []value.VersionKey
	for i := range 38 {
		name := fmt.Sprintf("v%d", i)
		m.Versions = append(m.Versions, value.Version{Name: name, InputMicros: 100, OutputMicros: 300, Quality: 0.9, Pool: "pool"})
		keys = append(keys, m.Key(name))
	}
	d.Models = []value.Model{m}
	d.Kinds = []value.Kind{{Name: "draft", Model: "model", QualityTarget: 0.8, Idempotent: true, MaxTokens: 1000}}
	for i := range accounts {
		d.ClientAccounts = append(d.ClientAccounts, value.ClientAccount{
			Name: value.AccountName(fmt.Sprintf("account-%d", i)), Share: 1,
			Versions: keys[i%30 : i%30+8], Kinds: []value.KindName{"draft"},
		})
	}
	return value.AcceptedDocument{Document: d, Revision: 1}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
