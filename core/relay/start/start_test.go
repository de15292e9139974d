package start_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/start"
)

const (
	// startSpread is the time within which the instances of the simulated fleets start.
	startSpread = 300 * time.Millisecond
	// storeReads and storeWrites are the calls a second that the store takes.
	storeReads  = 6000
	storeWrites = 1200
)

var fleets = []int{7, 60, 200, 2300}

// callsOf returns the times of the calls of all instances that start together, in order.
func callsOf(fleet int, duration time.Duration, first func(float64) time.Duration, next func(n int, random float64) time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(1, uint64(fleet)))
	var calls []time.Duration
	for range fleet {
		at := time.Duration(random.Float64()*float64(startSpread)) + first(random.Float64())
		for n := 1; at < duration; n++ {
			calls = append(calls, at)
			at += next(n, random.Float64())
		}
	}
	slices.Sort(calls)
	return calls
}

// busiestSecond returns the most calls in any second.
func busiestSecond(calls []time.Duration) int {
	most, first := 0, 0
	for last, at := range calls {
		for at-calls[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a start of the whole fleet that asks more of the store than it takes, while it answers nothing.
func TestReadsOfAFleetStayWithinTheStoresRate(t *testing.T) {
	for _, fleet := range fleets {
		pace := start.Schedule{Fleet: fleet}
		most := busiestSecond(callsOf(fleet, 10*time.Second, pace.FirstRead, pace.NextRead))
		assert.Assert(t, most <= storeReads, "%d instances made %d reads in a second", fleet, most)
		t.Logf("%d instances: at most %d reads in a second", fleet, most)
	}
}

// Guards against registrations that exceed what the store writes: at the start, while it fails, and after it has
// lost all entries.
func TestRegistrationsOfAFleetStayWithinTheStoresRate(t *testing.T) {
	const writes = 2
	never := func(int, float64) time.Duration { return time.Hour }
	for _, fleet := range fleets {
		pace := start.Schedule{Fleet: fleet}
		lost := func(random float64) time.Duration { return pace.Rewrite(500*time.Millisecond, random) }
		for name, calls := range map[string]int{
			"start":        writes * busiestSecond(callsOf(fleet, time.Minute, pace.FirstWrite, never)),
			"lost entries": writes * busiestSecond(callsOf(fleet, time.Minute, lost, never)),
			"failing":      busiestSecond(callsOf(fleet, time.Minute, pace.FirstWrite, pace.NextWrite)),
		} {
			assert.Assert(t, calls <= storeWrites, "%s: %d instances made %d writes in a second", name, fleet, calls)
		}
	}
}

// Guards against a first read that a silent connection holds up, and against a small fleet that notices late that
// the store is back.
func TestReadIsHedgedEarlyAndAStoreThatReturnsIsNoticedSoon(t *testing.T) {
	for _, fleet := range []int{1, 60, 200} {
		pace := start.Schedule{Fleet: fleet}
		assert.Assert(t, pace.FirstRead(1)+pace.NextRead(1, 1) <= 200*time.Millisecond)
		assert.Assert(t, pace.NextRead(100, 1) <= 400*time.Millisecond)
		assert.Assert(t, pace.NextRead(100, 0) >= 2*pace.NextRead(1, 0), "the pause grows")
	}
}

// Callers retry once or a few times, and wait for at most a third of the time that they have left.
func TestRetryTimeIsWorthTaking(t *testing.T) {
	began := time.Unix(1000, 0)
	cases := map[string]struct {
		known  relay.Startup
		waited time.Duration
		left   time.Duration
		want   time.Duration
	}{
		"another instance serves":          {relay.Startup{Since: began, OthersServeAt: began.Add(2900 * time.Millisecond)}, 3 * time.Second, 5 * time.Second, 50 * time.Millisecond},
		"another instance served long ago": {relay.Startup{Since: began, OthersServeAt: began}, 3 * time.Second, 0, 1500 * time.Millisecond},
		"the start":                        {relay.Startup{Since: began}, 0, 5 * time.Second, 500 * time.Millisecond},
		"not even begun":                   {relay.Startup{}, 0, 0, 500 * time.Millisecond},
		"a second without a state":         {relay.Startup{Since: began}, time.Second, 25 * time.Second, time.Second},
		"a caller with little time":        {relay.Startup{Since: began}, 4 * time.Second, 900 * time.Millisecond, 300 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, start.RetryAfter(c.known, began.Add(c.waited), c.left), c.want)
		})
	}
}
