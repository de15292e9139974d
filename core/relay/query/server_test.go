package query_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

func TestSelectServerAvoidsTriedDrainingAndEjectedServers(t *testing.T) {
	draining := serverOf("c", "v1")
	draining.Server.Draining = true
	state := stateOf(serverOf("a", "v1"), serverOf("b", "v2"), draining)
	rnd := rand.New(rand.NewPCG(1, 1))
	loads := func(relay.ServerID) relay.Load { return relay.Load{} }
	for range 50 {
		c, ok := query.SelectServer(state, query.Criteria{Service: "engine", Tried: []relay.ServerID{"a"}}, loads, rnd, now)
		assert.Assert(t, ok)
		assert.Equal(t, c.Server.ID, relay.ServerID("b"))
		c, _ = query.SelectServer(state, query.Criteria{Service: "engine", Release: "v1"}, loads, rnd, now)
		assert.Equal(t, c.Server.ID, relay.ServerID("a"))
	}
	_, ok := query.SelectServer(state, query.Criteria{Service: "engine", Tried: []relay.ServerID{"a", "b"}}, loads, rnd, now)
	assert.Assert(t, !ok)
	ejected := func(id relay.ServerID) relay.Load {
		if id == "a" {
			return relay.Load{EjectedUntil: now.Add(time.Second)}
		}
		return relay.Load{}
	}
	c, _ := query.SelectServer(state, query.Criteria{Service: "engine"}, ejected, rnd, now)
	assert.Equal(t, c.Server.ID, relay.ServerID("b"))
	c, ok = query.SelectServer(state, query.Criteria{Service: "engine", Release: "v1"}, ejected, rnd, now)
	assert.Assert(t, ok, "an ejected server is better than none")
	assert.Equal(t, c.Server.ID, relay.ServerID("a"))
}

func TestSelectServerAvoidsServerUntilItHasWarmedUp(t *testing.T) {
	warmingUp := serverOf("cold", "v1")
	warmingUp.Server.Cold = 5 * time.Second
	state := stateOf(warmingUp, serverOf("warm", "v1"))
	rnd := rand.New(rand.NewPCG(1, 1))
	chosen := func(at time.Time) int {
		n := 0
		for range 200 {
			c, ok := query.SelectServer(state, query.Criteria{Service: "engine"}, func(relay.ServerID) relay.Load { return relay.Load{} }, rnd, at)
			assert.Assert(t, ok)
			if c.Server.ID == "cold" {
				n++
			}
		}
		return n
	}
	assert.Assert(t, chosen(now.Add(time.Second)) < 40, "a server that is warming up is chosen only when it alone is drawn")
	assert.Assert(t, chosen(now.Add(6*time.Second)) > 60)
	busy := func(id relay.ServerID) relay.Load {
		if id == "warm" {
			return relay.Load{InFlight: 8}
		}
		return relay.Load{}
	}
	c, _ := query.SelectServer(state, query.Criteria{Service: "engine", Tried: nil}, busy, rnd, now.Add(time.Second))
	assert.Equal(t, c.Server.ID, relay.ServerID("cold"), "a full server is worse than one that is warming up")
}

func TestSelectServerKeepsSharedPromptAtItsServerUnlessBusy(t *testing.T) {
	entries := []relay.Entry{{Config: &relay.Config{Version: 1, Services: []relay.Service{{Name: "engine", Engine: true}}}}}
	for i := range 8 {
		entries = append(entries, serverOf(relay.ServerID(rune('a'+i)), "v1"))
	}
	state := stateOf(entries...)
	rnd := rand.New(rand.NewPCG(1, 1))
	idle := func(relay.ServerID) relay.Load { return relay.Load{} }
	criteria := query.Criteria{Service: "engine", Shared: "menu", SharedTokens: 6000, PrefillTime: 20 * time.Microsecond}
	first, _ := query.SelectServer(state, criteria, idle, rnd, now)
	assert.Assert(t, first.HasCacheAffinity)
	for range 30 {
		again, _ := query.SelectServer(state, criteria, idle, rnd, now)
		assert.Equal(t, again.Server.ID, first.Server.ID)
	}
	busy := func(id relay.ServerID) relay.Load {
		if id == first.Server.ID {
			return relay.Load{InFlight: 60, Work: 3 * time.Second}
		}
		return relay.Load{}
	}
	whenBusy, _ := query.SelectServer(state, criteria, busy, rnd, now)
	assert.Assert(t, whenBusy.Server.ID != first.Server.ID)
}
