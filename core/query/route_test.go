package query_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/value"
)

var noon = time.Unix(43200, 0)

// seenLoads is a changeable set of observations for one test.
type seenLoads map[value.ServerID]value.Load

func (s seenLoads) get(id value.ServerID) value.Load { return s[id] }

func (s seenLoads) first(id value.ServerID, after time.Duration) {
	for range 4 {
		s[id] = s[id].WithFirst(query.FirstSmooth, noon, noon, after)
	}
}

func TestEjectionLeavesThePoolItsLeastShare(t *testing.T) {
	s, loads, rnd := wideState(10), make(seenLoads), rand.New(rand.NewPCG(1, 1))
	ejected := 0
	for _, b := range listed(10) {
		for range 5 {
			loads[b.ID] = loads[b.ID].WithFailure()
		}
		if until := query.Eject(s, b, loads.get, rnd, noon); !until.IsZero() {
			loads[b.ID] = loads[b.ID].WithEjection(until)
			ejected++
		}
	}
	assert.Equal(t, ejected, 5, "half of the pool must stay in")
	_, err := query.Route(s, query.Target{Version: routed}, loads.get, rnd, noon)
	assert.NilError(t, err)
}

func TestSlowServerIsEjectedForLongerEachTime(t *testing.T) {
	s, loads, rnd := wideState(10), make(seenLoads), rand.New(rand.NewPCG(1, 1))
	list := listed(10)
	for _, b := range list {
		loads.first(b.ID, 50*time.Millisecond)
	}
	assert.Assert(t, query.Eject(s, list[3], loads.get, rnd, noon).IsZero())
	loads.first("s3", time.Second)
	once := query.Eject(s, list[3], loads.get, rnd, noon)
	loads["s3"] = loads["s3"].WithEjection(noon)
	loads.first("s3", time.Second)
	twice := query.Eject(s, list[3], loads.get, rnd, noon)
	assert.Assert(t, twice.Sub(noon) > once.Sub(noon) && once.After(noon))
}

func TestEjectedServersServeWhenNothingElseIsLeft(t *testing.T) {
	s, loads, rnd := wideState(1), make(seenLoads), rand.New(rand.NewPCG(1, 1))
	loads["s0"] = loads["s0"].WithEjection(noon.Add(time.Minute))
	c, err := query.Route(s, query.Target{Version: routed}, loads.get, rnd, noon)
	assert.NilError(t, err)
	assert.Equal(t, c.Server.ID, value.ServerID("s0"))
}

// spread routes so many requests that all stay, and counts them by server.
func spread(t *testing.T, servers, requests int, loads seenLoads, target query.Target) map[value.ServerID]int {
	t.Helper()
	s, rnd := wideState(servers), rand.New(rand.NewPCG(1, 1))
	counts := make(map[value.ServerID]int)
	for range requests {
		c, err := query.Route(s, target, loads.get, rnd, noon)
		assert.NilError(t, err)
		counts[c.Server.ID]++
		loads[c.Server.ID] = loads[c.Server.ID].WithStart(target.Long, noon)
	}
	return counts
}

func TestOwnDomainIsPreferredButNotOverloaded(t *testing.T) {
	loads := make(seenLoads)
	for _, b := range listed(8) {
		loads.first(b.ID, 50*time.Millisecond)
	}
	counts := spread(t, 8, 200, loads, query.Target{Version: routed})
	// Two of the eight servers, s0 and s4, are in the instance's own domain.
	near := counts["s0"] + counts["s4"]
	assert.Assert(t, near > 200*2/8, "%d near", near)
	assert.Assert(t, near < 200*2/8*3/2, "%d near", near)
}

func TestPopularPrefixSpillsOverBeforeItOverloads(t *testing.T) {
	loads := make(seenLoads)
	for _, b := range listed(10) {
		loads.first(b.ID, 50*time.Millisecond)
	}
	counts := spread(t, 10, 100, loads, query.Target{Version: routed, Prefix: 7})
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	assert.Assert(t, most > 15 && most <= 25, "the prefix's home has %d of 100", most)
}

func TestLongRunsLeavePlacesToShortOnes(t *testing.T) {
	s, loads, rnd := wideState(2), make(seenLoads), rand.New(rand.NewPCG(1, 1))
	long := query.Target{Version: routed, Long: true}
	for {
		c, err := query.Route(s, long, loads.get, rnd, noon)
		if err != nil {
			break
		}
		loads[c.Server.ID] = loads[c.Server.ID].WithStart(true, noon)
	}
	assert.Equal(t, loads["s0"].Long+loads["s1"].Long, 2*24)
	_, err := query.Route(s, query.Target{Version: routed}, loads.get, rnd, noon)
	assert.NilError(t, err)
}

func TestNewServerStartsSlowly(t *testing.T) {
	s, loads, rnd := wideState(10), make(seenLoads), rand.New(rand.NewPCG(1, 1))
	for _, b := range listed(10) {
		loads.first(b.ID, 50*time.Millisecond)
	}
	s = s.WithServer(listed(1)[0].WithState(value.ServerLive, noon))
	picked := 0
	for range 1000 {
		c, err := query.Route(s, query.Target{Version: routed}, loads.get, rnd, noon)
		assert.NilError(t, err)
		if c.Server.ID == "s0" {
			picked++
		}
	}
	assert.Assert(t, picked < 30, "%d of 1000", picked)
}

func TestOldReportsNeverReplaceNewerOnes(t *testing.T) {
	l := value.Load{}.WithReport(9, noon).WithReport(0, noon.Add(-time.Second))
	assert.Equal(t, l.ReportedQueue, 9)
}

func TestLimiterBacksOffAndComesBack(t *testing.T) {
	c := policy.LimiterConfig{First: 8, Least: 1, Most: 32, Tolerance: 2, Backoff: 0.7, Drift: 0.002}
	var l policy.Limiter
	for range 200 {
		l = l.WithSample(c, 50*time.Millisecond, l.Limit(c))
	}
	up := l.Limit(c)
	for range 200 {
		l = l.WithSample(c, time.Second, l.Limit(c))
	}
	down := l.Limit(c)
	for range 400 {
		l = l.WithSample(c, 50*time.Millisecond, l.Limit(c))
	}
	assert.Assert(t, up > 16 && down < 4 && l.Limit(c) > 16, "%d, %d, %d", up, down, l.Limit(c))
}

func TestLimiterDoesNotGrowWithoutDemand(t *testing.T) {
	c := policy.LimiterConfig{First: 8, Least: 1, Most: 32, Tolerance: 2, Backoff: 0.7, Drift: 0.002}
	var l policy.Limiter
	for range 1000 {
		l = l.WithSample(c, 50*time.Millisecond, 1)
	}
	assert.Equal(t, l.Limit(c), 8)
}

func TestFairQueueServesByWeightAndLosesNothing(t *testing.T) {
	var q policy.Fair[string, string, string]
	for i := range 30 {
		for g, w := range map[string]float64{"a": 1, "b": 2} {
			q = q.With(policy.Entry[string, string, string]{Group: g, GroupWeight: w, Lane: "l", LaneWeight: 1, Cost: 1, Item: fmt.Sprint(g, i)})
		}
	}
	first := make(map[byte]int)
	all := make(map[string]bool)
	for n := 0; ; n++ {
		item, rest, ok := q.Next(func(string) bool { return true })
		if !ok {
			break
		}
		q = rest
		all[item] = true
		if n < 30 {
			first[item[0]]++
		}
	}
	assert.Equal(t, len(all), 60)
	assert.Equal(t, q.Len(), 0)
	assert.Assert(t, first['b'] >= 19 && first['b'] <= 21, "%d of 30", first['b'])
}
