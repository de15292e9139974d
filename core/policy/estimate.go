package policy

import (
	"math"
	"time"
)

// EstimateConfig sets up the estimates of a share from ratings.
type EstimateConfig struct {
	// PriorWeight is how many ratings a stated share counts for, where nothing else is said.
	PriorWeight float64
	// HalfLife is the time in which a rating loses half of its weight.
	HalfLife time.Duration
	// StaleAfter is how long without any rating an estimate keeps its full confidence.
	StaleAfter time.Duration
	// StaleHalfLife is the time in which an estimate without new ratings then loses half of its weight.
	StaleHalfLife time.Duration
	// Deviation is the normal quantile of the bounds' one-sided confidence.
	Deviation float64
	// MaxWeight bounds the weight of one rating, which is the inverse of its sampling rate.
	MaxWeight float64
}

// Estimate is what ratings say about a share; it is immutable.
//
// A stated share counts as ratings given beforehand. It fades with age as they do, and once the
// ratings contradict it, it loses weight for good: an estimate never heals by growing old.
type Estimate struct {
	config EstimateConfig
	stated float64
	weight float64
	// prior is the present weight of the stated share.
	prior float64
	// good, all and squares are sums over the ratings' weights, as of last.
	good    float64
	all     float64
	squares float64
	last    time.Time
}

// Rating is one verdict as the estimate sees it.
type Rating struct {
	Good bool
	// Rate is the share, from 0 to 1, at which such answers are rated; zero means unknown.
	Rate float64
	At   time.Time
}

// Bound is an estimate at one moment.
type Bound struct {
	Mean  float64
	Lower float64
	Upper float64
	// Weight is the number of ratings that the estimate is worth.
	Weight float64
}

// conflictVariance is the squared deviation beyond which ratings contradict the stated share.
const conflictVariance = 4

// NewEstimate returns an estimate from a stated share; a weight of zero means the configured one.
func (c EstimateConfig) NewEstimate(stated, weight float64) Estimate {
	if weight <= 0 {
		weight = c.PriorWeight
	}
	return Estimate{config: c, stated: stated, weight: weight, prior: weight}
}

// With returns an estimate that has taken in a rating, whatever the order in which ratings arrive.
func (e Estimate) With(r Rating) Estimate {
	w := e.weigh(r.Rate)
	if r.At.After(e.last) {
		e = e.aged(r.At)
	} else {
		w *= fade(e.last.Sub(r.At), e.config.HalfLife)
	}
	if r.Good {
		e.good += w
	}
	e.all += w
	e.squares += w * w
	return e.confronted()
}

// WithStated returns an estimate with another stated share and weight; the ratings stay.
func (e Estimate) WithStated(stated, weight float64) Estimate {
	fresh := e.config.NewEstimate(stated, weight)
	if fresh.stated == e.stated && fresh.weight == e.weight {
		return e
	}
	e.stated, e.weight, e.prior = fresh.stated, fresh.weight, fresh.prior
	return e.confronted()
}

// Rated returns whether the estimate has taken in any rating.
func (e Estimate) Rated() bool {
	return e.all > 0
}

// Fresh returns until when the bounds keep their full confidence; zero means for ever.
func (e Estimate) Fresh() time.Time {
	if !e.Rated() {
		return time.Time{}
	}
	return e.last.Add(e.config.StaleAfter)
}

// Bound returns the estimate at the time, wider the longer no rating has come.
func (e Estimate) Bound(now time.Time) Bound {
	n := e.effective()
	mean := (e.stated*e.prior + e.share()*n) / max(e.prior+n, math.SmallestNonzeroFloat64)
	n += e.prior
	if fresh := e.Fresh(); e.Rated() && now.After(fresh) {
		n *= fade(now.Sub(fresh), e.config.StaleHalfLife)
	}
	return wilson(mean, n, e.config.Deviation)
}

func (e Estimate) weigh(rate float64) float64 {
	if rate <= 0 {
		return 1
	}
	return min(1/rate, e.config.MaxWeight)
}

func (e Estimate) aged(at time.Time) Estimate {
	if e.Rated() {
		f := fade(at.Sub(e.last), e.config.HalfLife)
		e.good *= f
		e.all *= f
		e.squares *= f * f
		e.prior *= f
	}
	e.last = at
	return e
}

// confronted lowers the prior's weight by how far the ratings lie from it.
func (e Estimate) confronted() Estimate {
	n := e.effective()
	if n < 1 || e.prior == 0 {
		return e
	}
	spread := max(e.stated*(1-e.stated), 1/(e.prior+n)) * (1/n + 1/e.prior)
	gap := e.share() - e.stated
	if excess := gap * gap / spread; excess > conflictVariance {
		e.prior *= conflictVariance / excess
	}
	return e
}

// effective returns how many ratings of equal weight the weighted ones are worth.
func (e Estimate) effective() float64 {
	if e.squares == 0 {
		return 0
	}
	return e.all * e.all / e.squares
}

func (e Estimate) share() float64 {
	if e.all == 0 {
		return 0
	}
	return e.good / e.all
}

func fade(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// wilson returns the score interval, which stays inside 0 to 1 also for shares near them.
func wilson(mean, n, z float64) Bound {
	n = max(n, 1)
	zz := z * z / n
	center := (mean + zz/2) / (1 + zz)
	half := z * math.Sqrt(mean*(1-mean)/n+zz/(4*n)) / (1 + zz)
	return Bound{Mean: mean, Lower: max(center-half, 0), Upper: min(center+half, 1), Weight: n}
}
