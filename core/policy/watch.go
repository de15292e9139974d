package policy

import (
	"math"
	"slices"
)

// Limit bounds the share of trials that may count against something.
type Limit[S comparable] struct {
	// Signal names what the trials show.
	Signal S
	// Max is the largest tolerable share, from 0 to 1.
	Max float64
}

// WatchConfig sets up a Watch.
type WatchConfig[S comparable] struct {
	Limits []Limit[S]
	// FalseAlarm bounds the chance, from 0 to 1, that an alarm is ever raised while no limit is broken.
	FalseAlarm float64
	// Horizon is the number of trials within which a change is expected, if one comes.
	Horizon float64
}

// Watch tests several limits at once and may be looked at after every trial; it is immutable.
//
// Each test is a mixture of bets against its limit. While the limit holds, the mixture's capital is
// a nonnegative supermartingale that starts at one, so by Ville's inequality the chance that it ever
// reaches 1/a is at most a, however often one looks. Half of the stake is placed at the start and
// the rest is spread over later trials, so that a change halfway is found as well.
type Watch[S comparable] struct {
	config WatchConfig[S]
	tests  []bets
}

// bets is the state of one test.
type bets struct {
	trials  int
	capital [len(oddsRatios)]float64
}

// oddsRatios are the alternatives of the mixture: the odds of a bad trial over those at the limit.
var oddsRatios = [...]float64{1.5, 2, 3, 5, 9, 17}

const (
	earlyStake = 0.5
	// leastLimit keeps the odds of a limit of zero finite.
	leastLimit = 0.001
)

// New returns a watch that has seen no trial.
func (c WatchConfig[S]) New() Watch[S] {
	w := Watch[S]{config: c, tests: make([]bets, len(c.Limits))}
	for i := range w.tests {
		for j := range oddsRatios {
			w.tests[i].capital[j] = earlyStake / float64(len(oddsRatios))
		}
	}
	return w
}

// With returns a watch that has seen trials of the signal, some of them bad, in whatever order.
func (w Watch[S]) With(signal S, trials, bad int) Watch[S] {
	return w.with(signal, trials, func(b bets, limit float64) bets {
		return b.spread(w.config.Horizon, trials).multiplied(limit, func(bad0, good0 float64) float64 {
			return math.Pow(bad0, float64(bad)) * math.Pow(good0, float64(trials-bad))
		})
	})
}

// WithWeighed returns a watch that has seen one trial that counts in part, from 0 to 1.
//
// Trials that were sampled at unlike rates are weighed by the lowest rate over their own.
func (w Watch[S]) WithWeighed(signal S, bad bool, weight float64) Watch[S] {
	return w.with(signal, 1, func(b bets, limit float64) bets {
		return b.spread(w.config.Horizon, 1).multiplied(limit, func(bad0, good0 float64) float64 {
			if bad {
				return 1 + weight*(bad0-1)
			}
			return 1 + weight*(good0-1)
		})
	})
}

// Trials returns how many trials of the signal the watch has seen.
func (w Watch[S]) Trials(signal S) int {
	i := w.find(signal)
	if i < 0 {
		return 0
	}
	return w.tests[i].trials
}

// Alarm returns the signal whose limit is broken, if there is one.
func (w Watch[S]) Alarm() (S, bool) {
	threshold := float64(len(w.tests)) / w.config.FalseAlarm
	for i, l := range w.config.Limits {
		if w.tests[i].evidence() >= threshold {
			return l.Signal, true
		}
	}
	var none S
	return none, false
}

// Config returns what the watch was set up with.
func (w Watch[S]) Config() WatchConfig[S] {
	return w.config
}

func (w Watch[S]) find(signal S) int {
	return slices.IndexFunc(w.config.Limits, func(l Limit[S]) bool { return l.Signal == signal })
}

func (w Watch[S]) with(signal S, trials int, next func(bets, float64) bets) Watch[S] {
	i := w.find(signal)
	if i < 0 || trials <= 0 {
		return w
	}
	w.tests = slices.Clone(w.tests)
	w.tests[i] = next(w.tests[i], max(w.config.Limits[i].Max, leastLimit))
	w.tests[i].trials += trials
	return w
}

// spread places the stake that falls due over the coming trials.
func (b bets) spread(horizon float64, trials int) bets {
	due := horizon/(horizon+float64(b.trials)) - horizon/(horizon+float64(b.trials+trials))
	for j := range b.capital {
		b.capital[j] += (1 - earlyStake) * due / float64(len(oddsRatios))
	}
	return b
}

// multiplied applies each bet's gain, from what one bad and one good trial multiply its capital by.
func (b bets) multiplied(limit float64, gain func(bad, good float64) float64) bets {
	for j, ratio := range oddsRatios {
		odds := ratio * limit / (1 - limit)
		alternative := odds / (1 + odds)
		g := gain(alternative/limit, (1-alternative)/(1-limit))
		b.capital[j] = min(b.capital[j]*g, maxCapital)
	}
	return b
}

// maxCapital keeps the capital finite; no threshold comes near it.
const maxCapital = 1e200

func (b bets) evidence() float64 {
	sum := 0.0
	for _, c := range b.capital {
		sum += c
	}
	return sum
}
