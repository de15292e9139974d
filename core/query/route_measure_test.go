package query_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const routed = value.VersionKey("llm/small")

// wideState knows as many servers as given, in four failure domains.
func wideState(servers int) state.State {
	s, _ := cmds.InstallConfig{Accepted: value.Accepted{Revision: 1, Document: value.Document{
		ClientAccounts: []value.ClientAccount{{Name: "a", Share: 1, Versions: []value.VersionKey{routed}, Kinds: []value.KindName{"k"}}},
		Models:         []value.Model{{Name: "llm", Versions: []value.Version{{Name: "small", OutputMicros: 1000, Quality: 0.9, QualityWeight: 1000, Pool: "p"}}}},
		Kinds:          []value.Kind{{Name: "k", Model: "llm", QualityTarget: 0.8, Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3}},
		Pools:          []value.Pool{{Name: "p", MaxInFlight: 32, SlowStart: time.Minute, MinHealthy: 0.5}},
		Limits:         value.Limits{QueueLength: 100, RetryPercent: 10, HedgePercent: 5},
	}}}.Apply(state.New(value.Instance{ID: "i", FailureDomain: "d0", State: value.InstanceLive}), time.Unix(0, 0))
	s, _ = cmds.SyncServers{Servers: listed(servers)}.Apply(s, time.Unix(0, 0))
	return s
}

func listed(servers int) []value.BackendServer {
	list := make([]value.BackendServer, servers)
	for i := range list {
		list[i] = value.BackendServer{
			ID: value.ServerID(fmt.Sprint("s", i)), Pool: "p", State: value.ServerLive,
			FailureDomain: value.FailureDomain(fmt.Sprint("d", i%4)), Versions: []value.VersionKey{routed},
		}
	}
	return list
}

// someLoads has observed each server a little.
func someLoads(servers int, now time.Time) query.Loads {
	known := make(map[value.ServerID]value.Load, servers)
	for i := range servers {
		l := value.Load{}.WithStart(false, now).WithFirst(query.FirstSmooth, now, now, time.Duration(100+i%50)*time.Millisecond)
		known[value.ServerID(fmt.Sprint("s", i))] = l
	}
	return func(id value.ServerID) value.Load { return known[id] }
}

func fatal(b *testing.B, err error) {
	if err != nil {
		b.Fatal(err)
	}
}

func BenchmarkMeasureDecision(b *testing.B) {
	now := time.Unix(3600, 0)
	for _, n := range []int{10, 100, 1_000, 10_000} {
		s, loads, rnd := wideState(n), someLoads(n, now), rand.New(rand.NewPCG(1, 2))
		r := value.Request{ID: "r", Account: "a", Kind: "k", Deadline: now.Add(time.Minute), InputTokens: 100, MaxTokens: 100}
		b.Run(fmt.Sprintf("Route/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, err := query.Route(s, query.Target{Version: routed}, loads, rnd, now)
				fatal(b, err)
			}
		})
		b.Run(fmt.Sprintf("RoutePrefix/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				_, err := query.Route(s, query.Target{Version: routed, Prefix: uint64(i+1) << 40}, loads, rnd, now)
				fatal(b, err)
			}
		})
		b.Run(fmt.Sprintf("Whole/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				a, err := query.Admit(s, r, now)
				fatal(b, err)
				p, err := query.Choose(s, a, r, now)
				fatal(b, err)
				_, err = query.Route(s, query.Target{Version: p.Last()}, loads, rnd, now)
				fatal(b, err)
			}
		})
	}
}

func BenchmarkMeasureSync(b *testing.B) {
	now := time.Unix(3600, 0)
	for _, n := range []int{1_000, 10_000} {
		s, list := wideState(n), listed(n)
		b.Run(fmt.Sprintf("unchanged/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				cmds.SyncServers{Servers: list}.Apply(s, now)
			}
		})
		changed := listed(n)
		changed[n/2] = changed[n/2].WithState(value.ServerLeaving, now)
		b.Run(fmt.Sprintf("one changed/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				cmds.SyncServers{Servers: changed}.Apply(s, now)
			}
		})
		b.Run(fmt.Sprintf("all new/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				cmds.SyncServers{Servers: list}.Apply(state.New(value.Instance{ID: "i"}), now)
			}
		})
	}
}
