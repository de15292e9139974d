package query_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/place"
	"endivehitch/core/relay/query"
)

func serverIn(domain relay.FailureDomain, id relay.ServerID, release relay.Release) relay.Entry {
	e := serverOf(id, release)
	e.Server.Domain = domain
	return e
}

func evacuation(domain relay.FailureDomain) relay.Entry {
	return relay.Entry{Evacuation: &relay.Evacuation{Domain: domain}}
}

func idle(relay.ServerID) relay.Load { return relay.Load{} }

// Guards against a request that reaches an evacuated failure domain because no other server is left, or is healthy.
func TestSelectServerNeverChoosesEvacuatedServer(t *testing.T) {
	state := stateOf(serverIn("z0", "a", "v1"), serverIn("z1", "b", "v1"), serverIn("z0", "c", "v1"), evacuation("z0"))
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, shared := range []string{"", "menu"} {
		for range 50 {
			c, ok := query.SelectServer(state, query.Criteria{Service: "engine", Shared: shared}, idle, rnd, now)
			assert.Assert(t, ok && c.Server.ID == "b")
		}
	}
	tried := query.Criteria{Service: "engine", Tried: []relay.ServerID{"b"}}
	_, ok := query.SelectServer(state, tried, idle, rnd, now)
	assert.Assert(t, !ok)
	assert.Assert(t, !query.HasHealthyServer(state, tried, idle, now))
	assert.Assert(t, query.HasHealthyServer(state, query.Criteria{Service: "engine"}, idle, now))
	ejected := func(relay.ServerID) relay.Load { return relay.Load{EjectedUntil: now.Add(time.Second)} }
	c, _ := query.SelectServer(state, query.Criteria{Service: "engine"}, ejected, rnd, now)
	assert.Equal(t, c.Server.ID, relay.ServerID("b"))
}

// Guards against a roll-out that sends requests to a release whose servers are evacuated, confines them to evacuated
// servers, or confines all requests to the few servers of the canary period.
func TestRollOutLeavesOutEvacuatedServers(t *testing.T) {
	rollOut := []relay.Entry{
		{RollOut: &relay.RollOut{Service: "engine", Target: "v2", Within: 20 * time.Second}},
		{Progress: &relay.Progress{Service: "engine", Target: "v2", Phase: relay.PhaseUnderWay}},
	}
	withEntries := func(entries ...relay.Entry) relay.State { return stateOf(append(entries, rollOut...)...) }
	releaseOf := func(s relay.State, uniform uint64, last relay.Release) relay.Release {
		return query.Release(s, "engine", place.Restriction{}, "", last, uniform, now)
	}
	newIsAway := withEntries(serverIn("z1", "a", "v1"), serverIn("z0", "b", "v2"), evacuation("z0"))
	assert.Equal(t, releaseOf(newIsAway, 0, "v2"), relay.Release("v1"))
	oldIsAway := withEntries(serverIn("z0", "a", "v1"), serverIn("z1", "b", "v2"), evacuation("z0"))
	assert.Equal(t, releaseOf(oldIsAway, 9999, "v1"), relay.Release("v2"))
	assert.Equal(t, len(query.CanaryServers(oldIsAway, "engine", "v2", now)), 0)
	entries := []relay.Entry{serverIn("z1", "old", "v1"), evacuation("z0")}
	for n := range 6 {
		domain := relay.FailureDomain(fmt.Sprint("z", n%2))
		entries = append(entries, serverIn(domain, relay.ServerID(fmt.Sprint("new", n)), "v2"))
	}
	state := withEntries(entries...)
	for _, at := range []time.Time{now.Add(time.Second), now.Add(3 * time.Second)} {
		for range 50 {
			c, ok := query.SelectServer(state, query.Criteria{Service: "engine", Release: "v2"}, idle, rand.New(rand.NewPCG(1, 1)), at)
			assert.Assert(t, ok && c.Server.Domain == "z1")
		}
	}
	for _, id := range query.CanaryServers(state, "engine", "v2", now) {
		server, _ := state.Server(id)
		assert.Equal(t, server.Domain, relay.FailureDomain("z1"))
	}
}

// Guards against a caller that is not told that its request has not run, or when to come back, and against an evacuated
// server that counts as one that may open again.
func TestRefusalSaysWhetherAllServersAreEvacuated(t *testing.T) {
	_, ok := query.PlaceRefusal(stateOf(serverIn("z0", "a", "v1"), serverIn("z1", "b", "v1"), evacuation("z0")), "engine", place.Restriction{})
	assert.Assert(t, !ok)
	refusal, ok := query.PlaceRefusal(stateOf(serverIn("z0", "a", "v1"), evacuation("z0")), "engine", place.Restriction{})
	assert.Assert(t, ok && refusal.NotRun && refusal.RetryAfter > 0)
	assert.Equal(t, refusal.Reason, relay.ReasonEvacuated)
	state := stateOf(serverIn("z0", "a", "v1"), serverIn("z1", "b", "v1"), evacuation("z0"))
	closed := query.Restrictions{}.With("b", relay.Restriction{}.WithReportedLimit(1, now).WithDenial(now.Add(time.Second)))
	refusal, ok = query.ClosedRefusal(cold.View{State: state, Now: now}, "engine", place.Restriction{}, closed)
	assert.Assert(t, ok && refusal.Reason == relay.ReasonSaturated)
	assert.Equal(t, query.OpenShare(state, "engine", query.Restrictions{}, now), 0.5)
	assert.Equal(t, query.OpenShare(state, "engine", closed, now), 0.0)
}
