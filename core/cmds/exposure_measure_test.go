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
	// exposureSpan is how many trials a roll-out is watched for.
	exposureSpan = 10000
	falseAlarms  = 0.01
)

// detector looks at one trial after the other; it returns true once it raises the alarm.
type detector func(bad bool) bool

// turn is a version whose share of bad trials changes after a number of trials.
type turn struct {
	name   string
	signal value.Reason
	limit  float64
	good   float64
	bad    float64
	after  int
}

var turns = map[string][]turn{
	"vadodara": {
		{name: "ratings-from-start", signal: value.ReasonQuality, limit: 0.1, bad: 0.3},
		{name: "ratings-turn", signal: value.ReasonQuality, limit: 0.1, good: 0.05, bad: 0.3, after: 500},
		{name: "errors-from-start", signal: value.ReasonErrorRate, limit: 0.02, bad: 0.1},
	},
	"portvagt": {
		{name: "errors-from-start", signal: value.ReasonErrorRate, limit: 0.02, bad: 0.3},
		{name: "errors-turn", signal: value.ReasonErrorRate, limit: 0.02, good: 0.01, bad: 0.1, after: 2000},
		{name: "ratings-turn", signal: value.ReasonQuality, limit: 0.1, good: 0.05, bad: 0.4, after: 2000},
	},
}

// exposure returns the trials of the bad version that pass before the alarm, or the whole span.
func (c turn) exposure(rnd *rand.Rand, d detector) (int, bool) {
	for i := range exposureSpan {
		share := c.bad
		if i < c.after {
			share = c.good
		}
		if !d(rnd.Float64() < share) {
			continue
		}
		if i < c.after {
			return 0, true
		}
		return i - c.after + 1, false
	}
	return exposureSpan - c.after, false
}

// own is the roll-out's watch as the commands set it up.
func (c turn) own() detector {
	r := document().RollOuts[0]
	w := fresh().Watch(r).Tests
	return func(bad bool) bool {
		n := 0
		if bad {
			n = 1
		}
		w = w.With(c.signal, 1, n)
		_, alarm := w.Alarm()
		return alarm
	}
}

// score is the statistic of the optimal test: the sequential probability ratio test, which knows the
// bad share, or the cumulative sum test where the change comes at an unknown time.
type score struct {
	turn turn
	sum  float64
}

func (s *score) see(bad bool) float64 {
	c := s.turn
	if bad {
		s.sum += math.Log(c.bad / c.limit)
	} else {
		s.sum += math.Log((1 - c.bad) / (1 - c.limit))
	}
	if c.after > 0 {
		s.sum = max(s.sum, 0)
	}
	return s.sum
}

func (c turn) optimal(threshold float64) detector {
	s := score{turn: c}
	return func(bad bool) bool { return s.see(bad) >= threshold }
}

// threshold returns the optimal test's threshold at the stated rate of false alarms over the span.
func (c turn) threshold() float64 {
	peaks := make([]float64, alarmRuns)
	for i := range peaks {
		rnd := rand.New(rand.NewPCG(21, uint64(i)))
		s := score{turn: c}
		for range exposureSpan {
			peaks[i] = max(peaks[i], s.see(rnd.Float64() < c.limit))
		}
	}
	slices.Sort(peaks)
	return peaks[int(alarmRuns*(1-falseAlarms))]
}

// fixed looks once in every so many trials, as a test of fixed size must.
func (c turn) fixed() detector {
	size, limit := c.size()
	seen, found := 0, 0
	return func(bad bool) bool {
		seen++
		if bad {
			found++
		}
		if seen < size {
			return false
		}
		alarm := found > limit
		seen, found = 0, 0
		return alarm
	}
}

// size returns the smallest sample, and the most bad trials in it, that finds the bad share nine times
// in ten while all samples of the span together raise no more false alarms than the watch.
func (c turn) size() (int, int) {
	for n := 10; ; n += 5 {
		spend := falseAlarms * float64(n) / exposureSpan
		limit := 0
		for tail(n, limit, c.limit) > spend {
			limit++
		}
		if tail(n, limit, c.bad) >= 0.9 {
			return n, limit
		}
	}
}

// tail returns the chance of more than so many bad trials.
func tail(n, limit int, share float64) float64 {
	p, sum := math.Pow(1-share, float64(n)), 0.0
	for k := range limit + 1 {
		sum += p
		p *= float64(n-k) / float64(k+1) * share / (1 - share)
	}
	return max(1-sum, 0)
}

// falseAlarmsOf returns the share of watches at the limit that raise the alarm within the span.
func (c turn) falseAlarmsOf(d func() detector) float64 {
	alarms := 0
	for i := range alarmRuns {
		rnd := rand.New(rand.NewPCG(22, uint64(i)))
		see := d()
		for range exposureSpan {
			if see(rnd.Float64() < c.limit) {
				alarms++
				break
			}
		}
	}
	return float64(alarms) / alarmRuns
}

// mean returns the mean exposure over the runs in which the alarm did not come early.
func (c turn) mean(d func() detector) float64 {
	sum, n := 0, 0
	for i := range exposureRuns {
		if trials, early := c.exposure(rand.New(rand.NewPCG(23, uint64(i))), d()); !early {
			sum += trials
			n++
		}
	}
	return float64(sum) / float64(n)
}

// BenchmarkMeasureExposure reports how many trials of a bad version pass before it is withdrawn, by
// the roll-out's watch, by the optimal sequential test and by a test of fixed size.
func BenchmarkMeasureExposure(b *testing.B) {
	for _, town := range []string{"vadodara", "portvagt"} {
		for _, c := range turns[town] {
			b.Run(town+"/"+c.name, func(b *testing.B) {
				for range b.N {
					threshold := c.threshold()
					optimal := func() detector { return c.optimal(threshold) }
					own, best, fixed := c.mean(c.own), c.mean(optimal), c.mean(c.fixed)
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(own, "trials")
					b.ReportMetric(best, "trials-optimal")
					b.ReportMetric(fixed, "trials-fixed")
					b.ReportMetric(own/best, "of-optimal")
					b.ReportMetric(own/fixed, "of-fixed")
					b.ReportMetric(c.falseAlarmsOf(c.own), "false-alarms")
					b.ReportMetric(c.falseAlarmsOf(optimal), "false-alarms-optimal")
					b.ReportMetric(c.falseAlarmsOf(c.fixed), "false-alarms-fixed")
				}
			})
		}
	}
}
