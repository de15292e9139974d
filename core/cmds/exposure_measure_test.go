package cmds_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"endivehitch/core/value"
)

const (
	exposureRuns = 400
	alarmRuns    = 1000
	// exposureTrials is the number of trials for which a roll-out's tests run.
	exposureTrials = 10000
	falseAlarmRate = 0.01
)

// detector is called with one trial after the other and returns true when it raises the alarm.
type detector func(bad bool) bool

// scenario is a version whose share of bad trials changes from shareBefore to shareAfter after changeAt
// trials.
type scenario struct {
	name        string
	signal      value.Reason
	limit       float64
	shareBefore float64
	shareAfter  float64
	changeAt    int
}

var scenarios = map[string][]scenario{
	"vadodara": {
		{name: "ratings-from-start", signal: value.ReasonQuality, limit: 0.1, shareAfter: 0.3},
		{name: "ratings-turn", signal: value.ReasonQuality, limit: 0.1, shareBefore: 0.05, shareAfter: 0.3, changeAt: 500},
		{name: "errors-from-start", signal: value.ReasonErrorRate, limit: 0.02, shareAfter: 0.1},
	},
	"portvagt": {
		{name: "errors-from-start", signal: value.ReasonErrorRate, limit: 0.02, shareAfter: 0.3},
		{name: "errors-turn", signal: value.ReasonErrorRate, limit: 0.02, shareBefore: 0.01, shareAfter: 0.1, changeAt: 2000},
		{name: "ratings-turn", signal: value.ReasonQuality, limit: 0.1, shareBefore: 0.05, shareAfter: 0.4, changeAt: 2000},
	},
}

// exposure returns the number of trials between the change and the alarm, or all trials after the
// change if there is no alarm, and whether the alarm came before the change.
func (c scenario) exposure(rnd *rand.Rand, d detector) (int, bool) {
	for i := range exposureTrials {
		share := c.shareAfter
		if i < c.changeAt {
			share = c.shareBefore
		}
		if !d(rnd.Float64() < share) {
			continue
		}
		if i < c.changeAt {
			return 0, true
		}
		return i - c.changeAt + 1, false
	}
	return exposureTrials - c.changeAt, false
}

// rollOutTests returns the tests of a roll-out as the commands set them up.
func (c scenario) rollOutTests() detector {
	r := document().RollOuts[0]
	tests := initialState().RollOutTests(r).Sequential
	return func(bad bool) bool {
		failed := 0
		if bad {
			failed = 1
		}
		tests = tests.With(c.signal, 1, failed)
		_, alarm := tests.Alarm()
		return alarm
	}
}

// score is the statistic of the optimal test, which knows the share of bad trials: the sequential
// probability ratio test, or the cumulative sum test where the change comes at an unknown time.
type score struct {
	scenario scenario
	sum      float64
}

func (s *score) add(bad bool) float64 {
	c := s.scenario
	if bad {
		s.sum += math.Log(c.shareAfter / c.limit)
	} else {
		s.sum += math.Log((1 - c.shareAfter) / (1 - c.limit))
	}
	if c.changeAt > 0 {
		s.sum = max(s.sum, 0)
	}
	return s.sum
}

func (c scenario) optimal(threshold float64) detector {
	s := score{scenario: c}
	return func(bad bool) bool { return s.add(bad) >= threshold }
}

// threshold returns the optimal test's threshold for a false-alarm rate of falseAlarmRate over all
// trials.
func (c scenario) threshold() float64 {
	peaks := make([]float64, alarmRuns)
	for i := range peaks {
		rnd := rand.New(rand.NewPCG(21, uint64(i)))
		s := score{scenario: c}
		for range exposureTrials {
			peaks[i] = max(peaks[i], s.add(rnd.Float64() < c.limit))
		}
	}
	slices.Sort(peaks)
	return peaks[int(alarmRuns*(1-falseAlarmRate))]
}

// fixedSample decides once per sample of fixed size.
func (c scenario) fixedSample() detector {
	size, limit := c.fixedSampleSize()
	trials, failures := 0, 0
	return func(bad bool) bool {
		trials++
		if bad {
			failures++
		}
		if trials < size {
			return false
		}
		alarm := failures > limit
		trials, failures = 0, 0
		return alarm
	}
}

// fixedSampleSize returns the smallest sample size, and the most bad trials that raise no alarm, with
// which the bad share is found in nine of ten samples while all samples together raise no more false
// alarms than falseAlarmRate.
func (c scenario) fixedSampleSize() (int, int) {
	for n := 10; ; n += 5 {
		allowedFalseAlarms := falseAlarmRate * float64(n) / exposureTrials
		limit := 0
		for binomialTail(n, limit, c.limit) > allowedFalseAlarms {
			limit++
		}
		if binomialTail(n, limit, c.shareAfter) >= 0.9 {
			return n, limit
		}
	}
}

// binomialTail returns the probability of more than limit bad trials among n.
func binomialTail(n, limit int, share float64) float64 {
	probability, sum := math.Pow(1-share, float64(n)), 0.0
	for k := range limit + 1 {
		sum += probability
		probability *= float64(n-k) / float64(k+1) * share / (1 - share)
	}
	return max(1-sum, 0)
}

// falseAlarmShare returns the share of runs at the limit in which the detector raises the alarm.
func (c scenario) falseAlarmShare(newDetector func() detector) float64 {
	alarms := 0
	for i := range alarmRuns {
		rnd := rand.New(rand.NewPCG(22, uint64(i)))
		detect := newDetector()
		for range exposureTrials {
			if detect(rnd.Float64() < c.limit) {
				alarms++
				break
			}
		}
	}
	return float64(alarms) / alarmRuns
}

// meanExposure returns the mean exposure over the runs without an alarm before the change.
func (c scenario) meanExposure(newDetector func() detector) float64 {
	sum, n := 0, 0
	for i := range exposureRuns {
		if trials, early := c.exposure(rand.New(rand.NewPCG(23, uint64(i))), newDetector()); !early {
			sum += trials
			n++
		}
	}
	return float64(sum) / float64(n)
}

// BenchmarkMeasureExposure reports how many trials of a bad version pass before it is withdrawn, with
// the roll-out's tests, with the optimal sequential test and with a test of fixed sample size.
func BenchmarkMeasureExposure(b *testing.B) {
	for _, set := range []string{"vadodara", "portvagt"} {
		for _, c := range scenarios[set] {
			b.Run(set+"/"+c.name, func(b *testing.B) {
				for range b.N {
					threshold := c.threshold()
					optimal := func() detector { return c.optimal(threshold) }
					rollOut, best, fixed := c.meanExposure(c.rollOutTests), c.meanExposure(optimal), c.meanExposure(c.fixedSample)
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(rollOut, "trials")
					b.ReportMetric(best, "trials-optimal")
					b.ReportMetric(fixed, "trials-fixed")
					b.ReportMetric(rollOut/best, "of-optimal")
					b.ReportMetric(rollOut/fixed, "of-fixed")
					b.ReportMetric(c.falseAlarmShare(c.rollOutTests), "false-alarms")
					b.ReportMetric(c.falseAlarmShare(optimal), "false-alarms-optimal")
					b.ReportMetric(c.falseAlarmShare(c.fixedSample), "false-alarms-fixed")
				}
			})
		}
	}
}
