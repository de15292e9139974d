package fleet_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivehitch/core/fleet"
	"endivehitch/core/value"
)

// Fixes the seed, so that the property tests draw the same values in each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	states := []value.InstanceState{value.InstanceLive, value.InstanceSuspected, value.InstanceLeaving, value.InstanceGone}
	anyUpdate := rapid.Custom(func(t *rapid.T) value.Instance {
		return value.Instance{
			State:       rapid.SampledFrom(states).Draw(t, "state"),
			Incarnation: rapid.Int64Range(0, 3).Draw(t, "incarnation"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(anyUpdate, 1, 8).Draw(t, "updates")
		shuffled := rapid.Permutation(updates).Draw(t, "shuffled")
		assert.DeepEqual(t, mergeAll(updates), mergeAll(shuffled))
		assert.DeepEqual(t, mergeAll(updates), mergeAll(append(updates, updates...)))
	})
}

func mergeAll(updates []value.Instance) value.Instance {
	known := updates[0]
	for _, update := range updates[1:] {
		if fleet.Supersedes(update, known) {
			known = fleet.Merge(known, update, time.Time{})
		}
	}
	return known
}

func TestPauseOfTheProberIsDetected(t *testing.T) {
	timing := fleet.DefaultTiming()
	begun := time.Unix(1000, 0)
	assert.Assert(t, !timing.WasPausedDuringProbe(begun, begun.Add(3*timing.Timeout)))
	assert.Assert(t, timing.WasPausedDuringProbe(begun, begun.Add(time.Minute)))
	assert.Assert(t, !timing.WasPaused(begun, begun.Add(2*timing.Period)))
	assert.Assert(t, timing.WasPaused(begun, begun.Add(time.Minute)))
	assert.Assert(t, !timing.WasPaused(time.Time{}, begun))
}

func TestSuspicionTimeoutAndTransmitCountGrowWithTheFleet(t *testing.T) {
	timing := fleet.DefaultTiming()
	assert.Equal(t, timing.SuspicionTimeout(7), 4*time.Second)
	assert.Equal(t, timing.SuspicionTimeout(1000), 12*time.Second)
	assert.Assert(t, fleet.TransmitCount(2300) > fleet.TransmitCount(7))
}
