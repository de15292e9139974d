package policy

import (
	"math"
	"slices"
)

// SignalLimit bounds the share of bad trials of a signal.
type SignalLimit[S comparable] struct {
	// Signal names what is tested.
	Signal S
	// Max is the highest acceptable share of bad trials, from 0 to 1.
	Max float64
}

// SequentialTestConfig configures a Watch.
type SequentialTestConfig[S comparable] struct {
	Limits []SignalLimit[S]
	// FalseAlarm bounds the probability that an alarm is ever raised while no limit is exceeded.
	FalseAlarm float64
	// Horizon is the number of trials within which a change is expected, if there is one.
	Horizon float64
}

// SequentialTest is a sequential test of several limits, which may be evaluated after every trial without
// raising the probability of a false alarm; it is immutable.
//
// Each limit is tested by betting: a mixture of bets that the share of bad trials is above the limit.
// While the limit holds, the mixture's capital, with the stake not yet placed, is a nonnegative
// supermartingale that starts at one, so by Ville's inequality the probability that it ever reaches 1/a
// is at most a. Half of the stake is placed at the start and the rest is spread over later trials, so
// that a later change is found too.
type SequentialTest[S comparable] struct {
	config SequentialTestConfig[S]
	tests  []limitTest
}

// limitTest is the state of the test of one limit: the capital of each bet.
type limitTest struct {
	trials  int
	capital [len(oddsRatios)]float64
}

// oddsRatios are the alternatives that the mixture bets on: each is the ratio of the odds of a bad
// trial to the odds at the limit.
var oddsRatios = [...]float64{1.5, 2, 3, 5, 9, 17}

const (
	initialStake = 0.5
	// minLimit keeps the odds of a limit of zero finite.
	minLimit = 0.001
)

// New returns a watch without any trials.
func (c SequentialTestConfig[S]) New() SequentialTest[S] {
	w := SequentialTest[S]{config: c, tests: make([]limitTest, len(c.Limits))}
	for i := range w.tests {
		for j := range oddsRatios {
			w.tests[i].capital[j] = initialStake / float64(len(oddsRatios))
		}
	}
	return w
}

// With returns the watch after a number of trials of the signal, of which so many were bad; their
// order does not matter.
func (w SequentialTest[S]) With(signal S, trials, bad int) SequentialTest[S] {
	return w.updateTest(signal, trials, func(test limitTest, limit float64) limitTest {
		return test.withDueStake(w.config.Horizon, trials).withPayoff(limit, func(badFactor, goodFactor float64) float64 {
			return math.Pow(badFactor, float64(bad)) * math.Pow(goodFactor, float64(trials-bad))
		})
	})
}

// WithWeighted returns the watch after one trial that counts with a weight from 0 to 1.
//
// Trials that were sampled at different rates get the weight lowest rate divided by own rate.
func (w SequentialTest[S]) WithWeighted(signal S, bad bool, weight float64) SequentialTest[S] {
	return w.updateTest(signal, 1, func(test limitTest, limit float64) limitTest {
		return test.withDueStake(w.config.Horizon, 1).withPayoff(limit, func(badFactor, goodFactor float64) float64 {
			if bad {
				return 1 + weight*(badFactor-1)
			}
			return 1 + weight*(goodFactor-1)
		})
	})
}

// Trials returns the number of trials of the signal.
func (w SequentialTest[S]) Trials(signal S) int {
	i := w.find(signal)
	if i < 0 {
		return 0
	}
	return w.tests[i].trials
}

// Alarm returns the first signal whose limit is exceeded, if there is one.
func (w SequentialTest[S]) Alarm() (S, bool) {
	threshold := float64(len(w.tests)) / w.config.FalseAlarm
	for i, l := range w.config.Limits {
		if w.tests[i].totalCapital() >= threshold {
			return l.Signal, true
		}
	}
	var none S
	return none, false
}

// Config returns the configuration of the watch.
func (w SequentialTest[S]) Config() SequentialTestConfig[S] {
	return w.config
}

func (w SequentialTest[S]) find(signal S) int {
	return slices.IndexFunc(w.config.Limits, func(l SignalLimit[S]) bool { return l.Signal == signal })
}

func (w SequentialTest[S]) updateTest(signal S, trials int, next func(limitTest, float64) limitTest) SequentialTest[S] {
	i := w.find(signal)
	if i < 0 || trials <= 0 {
		return w
	}
	w.tests = slices.Clone(w.tests)
	w.tests[i] = next(w.tests[i], max(w.config.Limits[i].Max, minLimit))
	w.tests[i].trials += trials
	return w
}

// withDueStake adds the part of the reserved stake that falls due over the next trials.
func (t limitTest) withDueStake(horizon float64, trials int) limitTest {
	dueShare := horizon/(horizon+float64(t.trials)) - horizon/(horizon+float64(t.trials+trials))
	for j := range t.capital {
		t.capital[j] += (1 - initialStake) * dueShare / float64(len(oddsRatios))
	}
	return t
}

// withPayoff multiplies the capital of each bet by its payoff, which is computed from the factors that
// one bad and one good trial multiply the capital by.
func (t limitTest) withPayoff(limit float64, payoff func(bad, good float64) float64) limitTest {
	for j, ratio := range oddsRatios {
		alternativeOdds := ratio * limit / (1 - limit)
		alternative := alternativeOdds / (1 + alternativeOdds)
		factor := payoff(alternative/limit, (1-alternative)/(1-limit))
		t.capital[j] = min(t.capital[j]*factor, maxCapital)
	}
	return t
}

// maxCapital keeps the capital finite; it is far above every threshold.
const maxCapital = 1e200

func (t limitTest) totalCapital() float64 {
	sum := 0.0
	for _, c := range t.capital {
		sum += c
	}
	return sum
}
