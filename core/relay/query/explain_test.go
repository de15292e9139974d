package query_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/place"
	"endivehitch/core/relay/query"
)

// Guards against an explanation in which evacuated servers, those in other regions and cold ones can't be told apart.
func TestExplainServersNamesEachExclusion(t *testing.T) {
	coldEntry := serverIn("z1", "cold", "v1")
	coldEntry.Server.Cold = time.Minute
	state := stateOf(
		serverIn("z0", "evacuated", "v1"), serverIn("z2", "abroad", "v1"), coldEntry, serverIn("z1", "limited", "v1"), serverIn("z1", "open", "v1"), evacuation("z0"),
		relay.Entry{Config: &relay.Config{Version: 1, Services: []relay.Service{{Name: "engine", ColdPerSecond: 17, ColdTime: time.Minute}}}},
	).WithRegions(map[relay.FailureDomain]relay.Region{"z0": "here", "z1": "here", "z2": "there"})
	denied := relay.Restriction{}.WithDenial(now.Add(time.Second))
	criteria := query.Criteria{
		Service: "engine", Regions: place.Restriction{Route: []relay.Region{"here"}}, Cold: cold.View{State: state, Limits: cold.DefaultLimits(), Now: now},
		Restrictions: query.Restrictions{}.With("cold", denied).With("limited", denied),
	}
	why := make(map[relay.ServerID]query.Exclusion)
	for _, c := range query.ExplainServers(state, criteria, idle, rand.New(rand.NewPCG(1, 1)), now) {
		why[c.Server.ID] = c.Exclusion
		assert.Equal(t, c.Cold.Source == cold.SourceEntry, c.Server.ID == "cold")
	}
	assert.DeepEqual(t, why, map[relay.ServerID]query.Exclusion{
		"evacuated": query.ExclusionEvacuated, "abroad": query.ExclusionRegion, "cold": query.ExclusionCold, "limited": query.ExclusionLimit,
		"open": query.ExclusionNone,
	})
}

// Guards against parts of an estimate that don't add up to the score by which the engine was compared.
func TestExplainServersShowsThePartsOfTheScore(t *testing.T) {
	state := stateOf(
		serverOf("near", "v1"), serverIn("z2", "far", "v1"),
		relay.Entry{Config: &relay.Config{Version: 1, Services: []relay.Service{{Name: "engine", Engine: true, KVTokens: 1000}}}},
	)
	busy := func(relay.ServerID) relay.Load { return relay.Load{InFlight: 5, Work: 30 * time.Millisecond} }
	criteria := query.Criteria{Service: "engine", Shared: "menu", SharedTokens: 500, OwnTokens: 100, PrefillTime: time.Millisecond, UnequalServers: true}
	for _, c := range query.ExplainServers(state, criteria, busy, rand.New(rand.NewPCG(1, 1)), now) {
		assert.Equal(t, c.Score, float64(c.Estimate.Cost())/float64(time.Millisecond)+1)
		assert.Assert(t, c.Held > 0 && c.Estimate.Wait > 0 && c.Estimate.Read > 0 && c.Estimate.Interference > 0)
		assert.Equal(t, c.Estimate.Distance > 0, c.Server.ID == "far")
		assert.DeepEqual(t, c.Choice().Estimate, c.Estimate)
	}
}
