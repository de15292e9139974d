package query_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// A fixed seed makes the property tests draw the same values in each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var placementRule = query.PlacementRule{VersionsPerServer: 2, Domains: 2}

// poolState returns a state with one pool of servers in three failure domains, and versions m/v0,
// m/v1 and so on.
func poolState(servers, versions int, withdrawn ...int) state.State {
	m := value.Model{Name: "m"}
	for i := range versions {
		m.Versions = append(m.Versions, value.Version{Name: fmt.Sprintf("v%d", i), Pool: "p", Withdrawn: slices.Contains(withdrawn, i)})
	}
	s := state.New(liveInstance("a")).WithConfig(value.AcceptedDocument{Revision: 1, Document: value.Document{
		Models: []value.Model{m}, Pools: []value.Pool{{Name: "p"}},
	}})
	for i := range servers {
		s = s.WithServer(value.BackendServer{
			ID: value.ServerID(fmt.Sprintf("s%d", i)), Pool: "p", State: value.ServerLive,
			FailureDomain: value.FailureDomain(fmt.Sprintf("d%d", i%3)),
		})
	}
	return s
}

func withVersions(s state.State, id value.ServerID, versions ...value.VersionKey) state.State {
	b, _ := s.Server(id)
	return s.WithServer(b.WithVersions(versions...))
}

// applyOrders returns the state after the orders have been carried out.
func applyOrders(s state.State, orders []query.Placement) state.State {
	for _, o := range orders {
		b, _ := s.Server(o.Server.ID)
		versions := slices.DeleteFunc(slices.Clone(b.Versions), func(k value.VersionKey) bool { return k == o.Version })
		if o.Load {
			versions = append(versions, o.Version)
		}
		s = s.WithServer(b.WithVersions(versions...))
	}
	return s
}

func countDomains(s state.State, k value.VersionKey) int {
	seen := make(map[value.FailureDomain]bool)
	for _, b := range s.VersionServers(k) {
		seen[b.FailureDomain] = true
	}
	return len(seen)
}

func TestLimitedLoadsGoToTheMostUrgentNeeds(t *testing.T) {
	s := withVersions(poolState(6, 3), "s0", "m/v1")
	demand := query.PlacementDemand{Demand: map[value.VersionKey]float64{"m/v1": 3, "m/v2": 1}, MaxLoads: 3}
	orders := query.PlanPlacement(s, placementRule, demand)
	assert.Equal(t, len(orders), 3)
	assert.Equal(t, orders[0].Version, value.VersionKey("m/v2"))
	assert.Equal(t, orders[0].Reason, query.ReasonNoServerHasVersion)
	assert.Equal(t, orders[1].Version, value.VersionKey("m/v0"))
	assert.Equal(t, orders[2].Version, value.VersionKey("m/v1"))
	assert.Equal(t, orders[2].Reason, query.ReasonTooFewDomains)
	assert.Assert(t, orders[2].Server.FailureDomain != "d0")
}

func TestOnlyVersionsWithEnoughOtherServersAreEvicted(t *testing.T) {
	s := poolState(3, 3)
	for _, id := range []value.ServerID{"s0", "s1", "s2"} {
		s = withVersions(s, id, "m/v0", "m/v1")
	}
	demand := query.PlacementDemand{Demand: map[value.VersionKey]float64{"m/v0": 3, "m/v1": 0.5}, MaxLoads: 5}
	orders := query.PlanPlacement(s, placementRule, demand)
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[0].Version, value.VersionKey("m/v1"))
	assert.Equal(t, orders[0].Reason, query.ReasonFreesCapacity)
	assert.Equal(t, orders[1].Version, value.VersionKey("m/v2"))
	assert.Equal(t, orders[1].Server.ID, orders[0].Server.ID)
}

func TestWithdrawnVersionIsUnloadedExceptFromTheLastServerOfItsSessions(t *testing.T) {
	s := poolState(3, 1, 0)
	for _, id := range []value.ServerID{"s0", "s1", "s2"} {
		s = withVersions(s, id, "m/v0")
	}
	pinned := query.PlacementDemand{Sessions: map[value.VersionKey]int{"m/v0": 1}, Demand: map[value.VersionKey]float64{"m/v0": 9}, MaxLoads: 9}
	orders := query.PlanPlacement(s, placementRule, pinned)
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, len(query.PlanPlacement(s, placementRule, query.PlacementDemand{})), 3)
	assert.Equal(t, len(query.PlanPlacement(applyOrders(s, orders), placementRule, pinned)), 0)
}

func TestVersionWithdrawnByCommandIsUnloadedAndNotLoadedAgain(t *testing.T) {
	s := withVersions(poolState(3, 2), "s0", "m/v0").WithWithdrawal(value.Withdrawal{Version: "m/v0"})
	orders := query.PlanPlacement(s, placementRule, query.PlacementDemand{Demand: map[value.VersionKey]float64{"m/v0": 3}, MaxLoads: 9})
	assert.Equal(t, orders[0].Reason, query.ReasonWithdrawn)
	for _, o := range orders {
		assert.Equal(t, o.Load, o.Version == "m/v1")
	}
}

func TestPlacementConvergesAndKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, versions := rapid.IntRange(4, 12).Draw(t, "servers"), rapid.IntRange(1, 4).Draw(t, "versions")
		s := poolState(servers, versions, rapid.IntRange(0, 5).Draw(t, "withdrawn"))
		demand := query.PlacementDemand{
			Demand: make(map[value.VersionKey]float64), Sessions: make(map[value.VersionKey]int),
			MaxLoads: rapid.IntRange(1, 4).Draw(t, "loads"),
		}
		for i := range versions {
			k := value.VersionKey(fmt.Sprintf("m/v%d", i))
			demand.Demand[k] = rapid.Float64Range(0, 8).Draw(t, "demand")
			demand.Sessions[k] = rapid.IntRange(0, 1).Draw(t, "sessions")
			for j := range rapid.IntRange(0, servers).Draw(t, "carriers") {
				id := value.ServerID(fmt.Sprintf("s%d", j))
				if b, _ := s.Server(id); len(b.Versions) < placementRule.VersionsPerServer {
					s = withVersions(s, id, append(slices.Clone(b.Versions), k)...)
				}
			}
		}
		for rounds := 0; ; rounds++ {
			assert.Assert(t, rounds < 100, "placement does not converge")
			orders := query.PlanPlacement(s, placementRule, demand)
			if len(orders) == 0 {
				break
			}
			s = applyChecked(t, s, orders, demand)
		}
		for i := range versions {
			k := value.VersionKey(fmt.Sprintf("m/v%d", i))
			if v, _ := s.Version(k); !v.Withdrawn {
				assert.Assert(t, countDomains(s, k) >= 1)
			}
		}
	})
}

// applyChecked carries out the orders one by one and checks the placement rules after each.
func applyChecked(t *rapid.T, s state.State, orders []query.Placement, demand query.PlacementDemand) state.State {
	loads := 0
	for _, o := range orders {
		serversBefore := len(s.VersionServers(o.Version))
		s = applyOrders(s, []query.Placement{o})
		v, _ := s.Version(o.Version)
		b, _ := s.Server(o.Server.ID)
		assert.Assert(t, len(b.Versions) <= placementRule.VersionsPerServer)
		if o.Load {
			loads++
			assert.Assert(t, !v.Withdrawn, "a withdrawn version was loaded")
			continue
		}
		assert.Assert(t, serversBefore > 1 || demand.Sessions[o.Version] == 0, "a version with sessions lost its last server")
		assert.Assert(t, v.Withdrawn || countDomains(s, o.Version) >= placementRule.Domains, "an unload left the version in too few failure domains")
	}
	assert.Assert(t, loads <= demand.MaxLoads)
	return s
}

func BenchmarkMeasurePlacement(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("Servers%d", n), func(b *testing.B) {
			s := poolState(n, 38)
			demand := query.PlacementDemand{Demand: map[value.VersionKey]float64{"m/v1": float64(n) / 2}, MaxLoads: 10}
			for b.Loop() {
				query.PlanPlacement(s, placementRule, demand)
			}
		})
	}
}

func TestNoLoadWithoutCapacityInAnotherFailureDomain(t *testing.T) {
	s := withVersions(poolState(4, 3), "s0", "m/v0")
	s = withVersions(s, "s1", "m/v1", "m/v2")
	s = withVersions(s, "s2", "m/v1", "m/v2")
	assert.Equal(t, len(query.PlanPlacement(s, placementRule, query.PlacementDemand{MaxLoads: 3})), 0)
}
