package engine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay/engine"
)

var now = time.Unix(5000, 0)

// Guards against a fast server's speed being ignored.
func TestPaceOfFastServerIsBelowOne(t *testing.T) {
	p := engine.Pace{}.With(60, now)
	assert.Equal(t, p.Usual(), 0.6)
	assert.Equal(t, p.Factor(now.Add(time.Minute)), 0.6)
	assert.Equal(t, engine.Pace{}.Factor(now), 1.0)
	assert.Equal(t, p.With(0, now.Add(time.Second)), p, "a duration that wasn't reported changes nothing")
	assert.Equal(t, engine.EstimateOf(engine.Demand{Own: time.Second}, engine.Server{Factor: 0.6}).FirstEvent(), 600*time.Millisecond)
}

// Guards against a moment's slowdown being taken for the usual speed.
func TestPaceForgetsMomentarySlowdown(t *testing.T) {
	p := engine.Pace{}.With(100, now).With(400, now.Add(time.Second))
	assert.Equal(t, p.Factor(now.Add(1100*time.Millisecond)), 4.0)
	assert.Assert(t, p.Factor(now.Add(2*time.Second)) < 1.1)
	assert.Equal(t, p.With(100, now.Add(3*time.Second)).Usual(), 1.0)
	repeated := p
	for range 300 {
		repeated = repeated.With(400, now.Add(time.Second))
	}
	assert.Assert(t, repeated.Usual() < 1.1, "a report that others pass on again shows nothing new")
	for i := range 300 {
		p = p.With(400, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	assert.Assert(t, p.Usual() > 3.9, "a lasting slowdown becomes the usual speed")
}

// Guards against servers of equal speed being told apart by their momentary slowdowns.
func TestServersOfEqualSpeedAreNotUnequal(t *testing.T) {
	even, fast, slowed := engine.Pace{}.With(100, now), engine.Pace{}.With(60, now), engine.Pace{}.With(100, now).With(250, now)
	assert.Assert(t, !engine.IsUnequal([]engine.Pace{even, slowed, {}}))
	assert.Assert(t, engine.IsUnequal([]engine.Pace{even, fast}))
	assert.Assert(t, !engine.IsUnequal(nil))
}

// Guards against a long prompt being sent to where many streams run.
func TestEstimateOfLongPromptGrowsWithRunningStreams(t *testing.T) {
	excess := func(own time.Duration) time.Duration {
		d := engine.Demand{Own: own, Gap: time.Second}
		return engine.EstimateOf(d, engine.Server{Requests: 20, Factor: 0.8}).Cost() - engine.EstimateOf(d, engine.Server{Factor: 1}).Cost()
	}
	assert.Assert(t, excess(20*time.Millisecond) < 100*time.Millisecond, "a short prompt hardly delays them")
	assert.Assert(t, excess(800*time.Millisecond) > time.Second)
}

// Guards against shared parts being counted on at servers that have lost them because their memory is short.
func TestHitsFallWhereSharedPartsAreLost(t *testing.T) {
	d := engine.Demand{Shared: 200 * time.Millisecond, Own: 50 * time.Millisecond}
	h, lost := engine.Hits{}, engine.Hits{}
	for range 200 {
		lost = lost.With(0, d, 1, 260*time.Millisecond)
	}
	assert.Assert(t, lost.Held(0) < 0.1)
	assert.Equal(t, lost.Held(1), h.Held(1), "each rank is learned apart")
	kept := lost
	for range 600 {
		kept = kept.With(0, d, 1, 60*time.Millisecond)
	}
	assert.Assert(t, kept.Held(0) > 0.8, "newer requests replace older ones")
	assert.Equal(t, h.With(0, engine.Demand{Shared: time.Millisecond}, 1, time.Second), h, "a short part shows nothing")
	assert.Equal(t, h.With(0, d, 2, 260*time.Millisecond).Held(0), 1.0, "a slow server's time isn't taken for a loss")
}
