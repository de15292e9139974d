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

// SequentialTestConfig configures a SequentialTest.
type SequentialTestConfig[S comparable] struct {
	Limits []SignalLimit[S]
	// FalseAlarm bounds the probability that an alarm is ever raised while no limit is exceeded.
	FalseAlarm float64
	// Horizon is the number of trials within which a change is expected, if there is one: half of the
	// reserved stake is placed over that many trials.
	Horizon float64
}

// SequentialTest is a sequential test of several limits. It may be evaluated after every trial without
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
	// minLimit replaces lower limits, as a bad trial at a limit of zero would have an infinite payoff.
	minLimit = 0.001
)

// New returns a test without any trials.
func (c SequentialTestConfig[S]) New() SequentialTest[S] {
	s := SequentialTest[S]{config: c, tests: make([]limitTest, len(c.Limits))}
	for i := range s.tests {
		for j := range oddsRatios {
			s.tests[i].capital[j] = initialStake / float64(len(oddsRatios))
		}
	}
	return s
}

// With returns the test after a batch of trials of the signal, of which the given number were bad;
// their order does not matter.
func (s SequentialTest[S]) With(signal S, trials, bad int) SequentialTest[S] {
	return s.updateTest(signal, trials, func(test limitTest, limit float64) limitTest {
		return test.withDueStake(s.config.Horizon, trials).withPayoff(limit, func(badFactor, goodFactor float64) float64 {
			return math.Pow(badFactor, float64(bad)) * math.Pow(goodFactor, float64(trials-bad))
		})
	})
}

// WithWeighted returns the test after one trial that counts with a weight from 0 to 1.
//
// Where trials are sampled at different rates, the weight is the lowest of the rates divided by the
// trial's own rate.
func (s SequentialTest[S]) WithWeighted(signal S, bad bool, weight float64) SequentialTest[S] {
	return s.updateTest(signal, 1, func(test limitTest, limit float64) limitTest {
		return test.withDueStake(s.config.Horizon, 1).withPayoff(limit, func(badFactor, goodFactor float64) float64 {
			if bad {
				return 1 + weight*(badFactor-1)
			}
			return 1 + weight*(goodFactor-1)
		})
	})
}

// Trials returns the number of trials of the signal.
func (s SequentialTest[S]) Trials(signal S) int {
	i := s.find(signal)
	if i < 0 {
		return 0
	}
	return s.tests[i].trials
}

// Alarm returns the first signal whose test has found its limit exceeded, if there is one. The
// probability of a false alarm is shared equally by all limits.
func (s SequentialTest[S]) Alarm() (S, bool) {
	threshold := float64(len(s.tests)) / s.config.FalseAlarm
	for i, l := range s.config.Limits {
		if s.tests[i].totalCapital() >= threshold {
			return l.Signal, true
		}
	}
	var none S
	return none, false
}

// Config returns the configuration of the test.
func (s SequentialTest[S]) Config() SequentialTestConfig[S] {
	return s.config
}

func (s SequentialTest[S]) find(signal S) int {
	return slices.IndexFunc(s.config.Limits, func(l SignalLimit[S]) bool { return l.Signal == signal })
}

func (s SequentialTest[S]) updateTest(signal S, trials int, next func(limitTest, float64) limitTest) SequentialTest[S] {
	i := s.find(signal)
	if i < 0 || trials <= 0 {
		return s
	}
	s.tests = slices.Clone(s.tests)
	s.tests[i] = next(s.tests[i], max(s.config.Limits[i].Max, minLimit))
	s.tests[i].trials += trials
	return s
}

// withDueStake adds the part of the reserved stake that is to be placed over the next trials.
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
