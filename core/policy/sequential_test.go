package policy_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
)

func newTest(limits ...policy.SignalLimit[string]) policy.SequentialTest[string] {
	return policy.SequentialTestConfig[string]{Limits: limits, FalseAlarm: 0.01, Horizon: 1000}.New()
}

// trialsUntilAlarm checks after every trial and returns the number of the trial that raised the alarm,
// or zero.
func trialsUntilAlarm(rnd *rand.Rand, test policy.SequentialTest[string], share float64, trials int) int {
	for i := range trials {
		bad := 0
		if rnd.Float64() < share {
			bad = 1
		}
		test = test.With("Errors", 1, bad)
		if _, ok := test.Alarm(); ok {
			return i + 1
		}
	}
	return 0
}

func TestCheckingAfterEachTrialKeepsTheFalseAlarmRate(t *testing.T) {
	const runs = 1000
	alarms := 0
	for i := range runs {
		rnd := rand.New(rand.NewPCG(5, uint64(i)))
		if trialsUntilAlarm(rnd, newTest(policy.SignalLimit[string]{Signal: "Errors", Max: 0.02}), 0.02, 5000) > 0 {
			alarms++
		}
	}
	// The configured rate is 1 in 100; 19 in 1,000 is three standard deviations above it.
	assert.Assert(t, alarms <= 19, "%d false alarms in %d", alarms, runs)
}

func TestHighErrorRateFromTheStartRaisesAlarm(t *testing.T) {
	for i := range 100 {
		rnd := rand.New(rand.NewPCG(6, uint64(i)))
		at := trialsUntilAlarm(rnd, newTest(policy.SignalLimit[string]{Signal: "Errors", Max: 0.02}), 0.2, 400)
		assert.Assert(t, at > 0, "run %d", i)
	}
}

func TestErrorRateThatRisesLaterRaisesAlarm(t *testing.T) {
	test := newTest(policy.SignalLimit[string]{Signal: "Errors", Max: 0.02})
	for range 50 {
		test = test.With("Errors", 100, 1)
	}
	_, early := test.Alarm()
	assert.Assert(t, !early)
	at := trialsUntilAlarm(rand.New(rand.NewPCG(7, 7)), test, 0.3, 200)
	assert.Assert(t, at > 0, "5,000 good trials hid the change")
}

func TestSignalsShareTheFalseAlarmRate(t *testing.T) {
	one := newTest(policy.SignalLimit[string]{Signal: "Errors", Max: 0.02})
	two := newTest(policy.SignalLimit[string]{Signal: "Errors", Max: 0.02}, policy.SignalLimit[string]{Signal: "Slow", Max: 0.02})
	n := trialsUntilAlarm(rand.New(rand.NewPCG(8, 8)), one, 1, 100)
	assert.Assert(t, trialsUntilAlarm(rand.New(rand.NewPCG(8, 8)), two, 1, 100) >= n)
	named, ok := two.With("Slow", 20, 20).Alarm()
	assert.Assert(t, ok)
	assert.Equal(t, named, "Slow")
}

func TestBatchCountsItsTrialsAndLeavesTheOldTestUnchanged(t *testing.T) {
	test := newTest(policy.SignalLimit[string]{Signal: "Errors", Max: 0.5})
	assert.Equal(t, test.With("Errors", 7, 2).With("Other", 5, 5).Trials("Errors"), 7)
	_, changed := test.With("Errors", 40, 40).Alarm()
	_, still := test.Alarm()
	assert.Assert(t, changed && !still, "With must leave the old test as it was")
}

func TestWeightingRemovesSamplingBias(t *testing.T) {
	alarms := 0
	const runs = 300
	for i := range runs {
		rnd := rand.New(rand.NewPCG(9, uint64(i)))
		test := newTest(policy.SignalLimit[string]{Signal: "Ratings", Max: 0.1})
		for range 4000 {
			bad := rnd.Float64() < 0.1
			rate := 0.1
			if bad {
				rate = 0.4
			}
			if rnd.Float64() < rate {
				test = test.WithWeighted("Ratings", bad, 0.1/rate)
			}
		}
		if _, ok := test.Alarm(); ok {
			alarms++
		}
	}
	assert.Assert(t, alarms <= 8, "%d false alarms in %d", alarms, runs)
}
