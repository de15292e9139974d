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

const routedVersion = value.VersionKey("llm/small")

// routingState returns a state with the given number of servers in four failure domains.
func routingState(servers int) state.State {
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Revision: 1, Document: value.Document{
		ClientAccounts: []value.ClientAccount{{Name: "a", Share: 1, Versions: []value.VersionKey{routedVersion}, Kinds: []value.KindName{"k"}}},
		Models:         []value.Model{{Name: "llm", Versions: []value.Version{{Name: "small", OutputMicros: 1000, Quality: 0.9, QualityWeight: 1000, Pool: "p"}}}},
		Kinds:          []value.Kind{{Name: "k", Model: "llm", QualityTarget: 0.8, Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3}},
		Pools:          []value.Pool{{Name: "p", MaxInFlight: 32, SlowStart: time.Minute, MinHealthy: 0.5}},
		Limits:         value.Limits{QueueLength: 100, RetryPercent: 10, HedgePercent: 5},
	}}}.Apply(state.New(value.Instance{ID: "i", FailureDomain: "d0", State: value.InstanceLive}), time.Unix(0, 0))
	s, _ = cmds.SyncServers{Servers: testServers(servers)}.Apply(s, time.Unix(0, 0))
	return s
}

func testServers(servers int) []value.BackendServer {
	list := make([]value.BackendServer, servers)
	for i := range list {
		list[i] = value.BackendServer{
			ID: value.ServerID(fmt.Sprint("s", i)), Pool: "p", State: value.ServerLive,
			FailureDomain: value.FailureDomain(fmt.Sprint("d", i%4)), Versions: []value.VersionKey{routedVersion},
		}
	}
	return list
}

// sampledLoads returns loads with one observation of each server.
func sampledLoads(servers int, now time.Time) query.LoadLookup {
	loads := make(map[value.ServerID]value.Load, servers)
	for i := range servers {
		l := value.Load{}.WithStart(false, now).WithFirstToken(query.FirstTokenSmoothing, now, now, time.Duration(100+i%50)*time.Millisecond)
		loads[value.ServerID(fmt.Sprint("s", i))] = l
	}
	return func(id value.ServerID) value.Load { return loads[id] }
}

func failOnError(b *testing.B, err error) {
	if err != nil {
		b.Fatal(err)
	}
}

func BenchmarkMeasureDecision(b *testing.B) {
	now := time.Unix(3600, 0)
	for _, n := range []int{10, 100, 1_000, 10_000} {
		s, loads, rnd := routingState(n), sampledLoads(n, now), rand.New(rand.NewPCG(1, 2))
		r := value.Request{ID: "r", Account: "a", Kind: "k", Deadline: now.Add(time.Minute), InputTokens: 100, MaxTokens: 100}
		b.Run(fmt.Sprintf("Route/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, err := query.Route(s, query.Target{Version: routedVersion}, loads, rnd, now)
				failOnError(b, err)
			}
		})
		b.Run(fmt.Sprintf("RoutePrefix/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				_, err := query.Route(s, query.Target{Version: routedVersion, Prefix: uint64(i+1) << 40}, loads, rnd, now)
				failOnError(b, err)
			}
		})
		b.Run(fmt.Sprintf("Whole/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				a, err := query.Admit(s, r, now)
				failOnError(b, err)
				p, err := query.ChoosePlan(s, a, r, now)
				failOnError(b, err)
				_, err = query.Route(s, query.Target{Version: p.Last()}, loads, rnd, now)
				failOnError(b, err)
			}
		})
	}
}

func BenchmarkMeasureSync(b *testing.B) {
	now := time.Unix(3600, 0)
	for _, n := range []int{1_000, 10_000} {
		s, list := routingState(n), testServers(n)
		b.Run(fmt.Sprintf("unchanged/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				cmds.SyncServers{Servers: list}.Apply(s, now)
			}
		})
		changed := testServers(n)
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
