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

// observedLoads holds the loads of one test's servers, which the test changes.
type observedLoads map[value.ServerID]value.Load

func (s observedLoads) get(id value.ServerID) value.Load { return s[id] }

func (s observedLoads) observeFirstToken(id value.ServerID, after time.Duration) {
	for range 4 {
		s[id] = s[id].WithFirstToken(query.FirstTokenSmoothing, noon, noon, after)
	}
}

func TestEjectionKeepsThePoolsMinimumOfHealthyServers(t *testing.T) {
	s, loads, rnd := routingState(10), make(observedLoads), rand.New(rand.NewPCG(1, 1))
	ejected := 0
	for _, b := range testServers(10) {
		for range 5 {
			loads[b.ID] = loads[b.ID].WithFailure()
		}
		if until := query.Eject(s, b, loads.get, rnd, noon); !until.IsZero() {
			loads[b.ID] = loads[b.ID].WithEjection(until)
			ejected++
		}
	}
	assert.Equal(t, ejected, 5, "half of the pool must not be ejected")
	_, err := query.Route(s, query.Target{Version: routedVersion}, loads.get, rnd, noon)
	assert.NilError(t, err)
}

func TestSlowServerIsEjectedForLongerEachTime(t *testing.T) {
	s, loads, rnd := routingState(10), make(observedLoads), rand.New(rand.NewPCG(1, 1))
	list := testServers(10)
	for _, b := range list {
		loads.observeFirstToken(b.ID, 50*time.Millisecond)
	}
	assert.Assert(t, query.Eject(s, list[3], loads.get, rnd, noon).IsZero())
	loads.observeFirstToken("s3", time.Second)
	once := query.Eject(s, list[3], loads.get, rnd, noon)
	loads["s3"] = loads["s3"].WithEjection(noon)
	loads.observeFirstToken("s3", time.Second)
	twice := query.Eject(s, list[3], loads.get, rnd, noon)
	assert.Assert(t, twice.Sub(noon) > once.Sub(noon) && once.After(noon))
}

func TestEjectedServersServeWhenNothingElseIsLeft(t *testing.T) {
	s, loads, rnd := routingState(1), make(observedLoads), rand.New(rand.NewPCG(1, 1))
	loads["s0"] = loads["s0"].WithEjection(noon.Add(time.Minute))
	c, err := query.Route(s, query.Target{Version: routedVersion}, loads.get, rnd, noon)
	assert.NilError(t, err)
	assert.Equal(t, c.Server.ID, value.ServerID("s0"))
}

// routeMany routes the given number of requests, all of which stay in flight, and counts them by
// server.
func routeMany(t *testing.T, servers, requests int, loads observedLoads, target query.Target) map[value.ServerID]int {
	t.Helper()
	s, rnd := routingState(servers), rand.New(rand.NewPCG(1, 1))
	counts := make(map[value.ServerID]int)
	for range requests {
		c, err := query.Route(s, target, loads.get, rnd, noon)
		assert.NilError(t, err)
		counts[c.Server.ID]++
		loads[c.Server.ID] = loads[c.Server.ID].WithStart(target.Long, noon)
	}
	return counts
}

func TestOwnFailureDomainIsPreferredButNotOverloaded(t *testing.T) {
	loads := make(observedLoads)
	for _, b := range testServers(8) {
		loads.observeFirstToken(b.ID, 50*time.Millisecond)
	}
	counts := routeMany(t, 8, 200, loads, query.Target{Version: routedVersion})
	// Two of the eight servers, s0 and s4, are in the instance's own failure domain.
	ownDomain := counts["s0"] + counts["s4"]
	assert.Assert(t, ownDomain > 200*2/8, "%d requests in the own failure domain", ownDomain)
	assert.Assert(t, ownDomain < 200*2/8*3/2, "%d requests in the own failure domain", ownDomain)
}

func TestPopularPrefixSpillsOverBeforeItOverloads(t *testing.T) {
	loads := make(observedLoads)
	for _, b := range testServers(10) {
		loads.observeFirstToken(b.ID, 50*time.Millisecond)
	}
	counts := routeMany(t, 10, 100, loads, query.Target{Version: routedVersion, Prefix: 7})
	highest := 0
	for _, n := range counts {
		highest = max(highest, n)
	}
	assert.Assert(t, highest > 15 && highest <= 25, "the most loaded server has %d of 100 requests", highest)
}

func TestLongRequestsLeaveCapacityForShortOnes(t *testing.T) {
	s, loads, rnd := routingState(2), make(observedLoads), rand.New(rand.NewPCG(1, 1))
	long := query.Target{Version: routedVersion, Long: true}
	for {
		c, err := query.Route(s, long, loads.get, rnd, noon)
		if err != nil {
			break
		}
		loads[c.Server.ID] = loads[c.Server.ID].WithStart(true, noon)
	}
	assert.Equal(t, loads["s0"].LongInFlight+loads["s1"].LongInFlight, 2*24)
	_, err := query.Route(s, query.Target{Version: routedVersion}, loads.get, rnd, noon)
	assert.NilError(t, err)
}

func TestNewServerGetsFewRequestsDuringSlowStart(t *testing.T) {
	s, loads, rnd := routingState(10), make(observedLoads), rand.New(rand.NewPCG(1, 1))
	for _, b := range testServers(10) {
		loads.observeFirstToken(b.ID, 50*time.Millisecond)
	}
	s = s.WithServer(testServers(1)[0].WithState(value.ServerLive, noon))
	picked := 0
	for range 1000 {
		c, err := query.Route(s, query.Target{Version: routedVersion}, loads.get, rnd, noon)
		assert.NilError(t, err)
		if c.Server.ID == "s0" {
			picked++
		}
	}
	assert.Assert(t, picked < 30, "the new server got %d of 1000 requests", picked)
}

func TestOldReportsNeverReplaceNewerOnes(t *testing.T) {
	l := value.Load{}.WithReport(9, noon).WithReport(0, noon.Add(-time.Second))
	assert.Equal(t, l.ReportedQueue, 9)
}

func TestLimiterBacksOffUnderLatencyAndRecovers(t *testing.T) {
	c := policy.LimiterConfig{Initial: 8, Min: 1, Max: 32, Tolerance: 2, Backoff: 0.7, Drift: 0.002}
	var l policy.Limiter
	for range 200 {
		l = l.WithSample(c, 50*time.Millisecond, l.Limit(c))
	}
	relaxed := l.Limit(c)
	for range 200 {
		l = l.WithSample(c, time.Second, l.Limit(c))
	}
	overloaded := l.Limit(c)
	for range 400 {
		l = l.WithSample(c, 50*time.Millisecond, l.Limit(c))
	}
	assert.Assert(t, relaxed > 16 && overloaded < 4 && l.Limit(c) > 16, "limit %d at first, %d under latency, %d after it", relaxed, overloaded, l.Limit(c))
}

func TestLimiterDoesNotGrowWithoutDemand(t *testing.T) {
	c := policy.LimiterConfig{Initial: 8, Min: 1, Max: 32, Tolerance: 2, Backoff: 0.7, Drift: 0.002}
	var l policy.Limiter
	for range 1000 {
		l = l.WithSample(c, 50*time.Millisecond, 1)
	}
	assert.Equal(t, l.Limit(c), 8)
}

func TestFairQueueServesByWeightAndLosesNothing(t *testing.T) {
	var q policy.FairQueue[string, string, string]
	for i := range 30 {
		for g, w := range map[string]float64{"a": 1, "b": 2} {
			q = q.With(policy.Entry[string, string, string]{Group: g, GroupWeight: w, Lane: "l", LaneWeight: 1, Cost: 1, Item: fmt.Sprint(g, i)})
		}
	}
	servedEarly := make(map[byte]int)
	served := make(map[string]bool)
	for n := 0; ; n++ {
		item, rest, ok := q.Next(func(string) bool { return true })
		if !ok {
			break
		}
		q = rest
		served[item] = true
		if n < 30 {
			servedEarly[item[0]]++
		}
	}
	assert.Equal(t, len(served), 60)
	assert.Equal(t, q.Len(), 0)
	assert.Assert(t, servedEarly['b'] >= 19 && servedEarly['b'] <= 21, "group b got %d of the first 30", servedEarly['b'])
}
