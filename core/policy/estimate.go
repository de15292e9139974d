package policy

import (
	"math"
	"time"
)

// EstimateConfig configures estimates of the share of good answers.
type EstimateConfig struct {
	// PriorWeight is how many ratings a stated share counts for, unless NewEstimate is given a weight.
	PriorWeight float64
	// HalfLife is the time in which a rating loses half of its weight.
	HalfLife time.Duration
	// StaleAfter is how long after the latest rating an estimate keeps its full confidence.
	StaleAfter time.Duration
	// StaleHalfLife is the time in which an estimate loses half of its weight once StaleAfter has passed.
	StaleHalfLife time.Duration
	// Deviation is the normal quantile (z-score) of the one-sided confidence of each bound.
	Deviation float64
	// MaxWeight bounds the weight of one rating, which is the inverse of its sampling rate.
	MaxWeight float64
}

// Estimate estimates the share of good answers from a stated share and from ratings; it is immutable.
//
// The stated share is the prior: it counts as a number of ratings given beforehand, and loses weight
// with age as they do. Where the ratings contradict it, it loses weight permanently, so an estimate
// does not return to the prior when its ratings get old.
type Estimate struct {
	config EstimateConfig
	// statedShare and statedWeight are the prior as it was stated.
	statedShare  float64
	statedWeight float64
	// priorWeight is the weight that the stated share has left.
	priorWeight float64
	// goodWeight, totalWeight and squaredWeights are the sums of the weights of the good ratings, of
	// all ratings, and of the squares of all weights, decayed to the time of latestRating.
	goodWeight     float64
	totalWeight    float64
	squaredWeights float64
	latestRating   time.Time
}

// Rating is one verdict on an answer.
type Rating struct {
	Good bool
	// Rate is the sampling rate, from 0 to 1, at which such answers are rated; zero means unknown.
	Rate float64
	At   time.Time
}

// Bound is an estimate at one moment, with its confidence interval.
type Bound struct {
	Mean  float64
	Lower float64
	Upper float64
	// Weight is the effective number of ratings behind the estimate.
	Weight float64
}

// maxSquaredDeviation is the square of the number of standard deviations beyond which the ratings
// contradict the stated share.
const maxSquaredDeviation = 4

// NewEstimate returns an estimate from a stated share that counts as weight ratings; a weight of zero
// means the configured PriorWeight.
func (c EstimateConfig) NewEstimate(stated, weight float64) Estimate {
	if weight <= 0 {
		weight = c.PriorWeight
	}
	return Estimate{config: c, statedShare: stated, statedWeight: weight, priorWeight: weight}
}

// With returns an estimate that includes the rating; ratings may come in any order.
func (e Estimate) With(r Rating) Estimate {
	weight := e.ratingWeight(r.Rate)
	if r.At.After(e.latestRating) {
		e = e.decayedTo(r.At)
	} else {
		weight *= exponentialDecay(e.latestRating.Sub(r.At), e.config.HalfLife)
	}
	if r.Good {
		e.goodWeight += weight
	}
	e.totalWeight += weight
	e.squaredWeights += weight * weight
	return e.withPriorChecked()
}

// WithStated returns an estimate with another stated share and weight; the ratings stay.
func (e Estimate) WithStated(stated, weight float64) Estimate {
	restated := e.config.NewEstimate(stated, weight)
	if restated.statedShare == e.statedShare && restated.statedWeight == e.statedWeight {
		return e
	}
	e.statedShare, e.statedWeight, e.priorWeight = restated.statedShare, restated.statedWeight, restated.priorWeight
	return e.withPriorChecked()
}

// HasRatings reports whether the estimate includes any rating.
func (e Estimate) HasRatings() bool {
	return e.totalWeight > 0
}

// FreshUntil returns the time until which the bounds keep their full confidence; it is zero
// where there are no ratings, since the bounds then never lose confidence.
func (e Estimate) FreshUntil() time.Time {
	if !e.HasRatings() {
		return time.Time{}
	}
	return e.latestRating.Add(e.config.StaleAfter)
}

// Bound returns the estimate at the given time; its interval widens the longer there is no new rating.
func (e Estimate) Bound(now time.Time) Bound {
	count := e.effectiveCount()
	mean := (e.statedShare*e.priorWeight + e.ratedShare()*count) / max(e.priorWeight+count, math.SmallestNonzeroFloat64)
	count += e.priorWeight
	if freshUntil := e.FreshUntil(); e.HasRatings() && now.After(freshUntil) {
		count *= exponentialDecay(now.Sub(freshUntil), e.config.StaleHalfLife)
	}
	return wilsonInterval(mean, count, e.config.Deviation)
}

func (e Estimate) ratingWeight(rate float64) float64 {
	if rate <= 0 {
		return 1
	}
	return min(1/rate, e.config.MaxWeight)
}

func (e Estimate) decayedTo(at time.Time) Estimate {
	if e.HasRatings() {
		factor := exponentialDecay(at.Sub(e.latestRating), e.config.HalfLife)
		e.goodWeight *= factor
		e.totalWeight *= factor
		e.squaredWeights *= factor * factor
		e.priorWeight *= factor
	}
	e.latestRating = at
	return e
}

// withPriorChecked lowers the prior's weight where the ratings contradict it: the weight is divided by
// the ratio of the squared deviation to maxSquaredDeviation.
func (e Estimate) withPriorChecked() Estimate {
	count := e.effectiveCount()
	if count < 1 || e.priorWeight == 0 {
		return e
	}
	variance := max(e.statedShare*(1-e.statedShare), 1/(e.priorWeight+count)) * (1/count + 1/e.priorWeight)
	difference := e.ratedShare() - e.statedShare
	if squaredDeviation := difference * difference / variance; squaredDeviation > maxSquaredDeviation {
		e.priorWeight *= maxSquaredDeviation / squaredDeviation
	}
	return e
}

// effectiveCount returns Kish's effective sample size: the number of equally weighted ratings that
// give the same variance.
func (e Estimate) effectiveCount() float64 {
	if e.squaredWeights == 0 {
		return 0
	}
	return e.totalWeight * e.totalWeight / e.squaredWeights
}

func (e Estimate) ratedShare() float64 {
	if e.totalWeight == 0 {
		return 0
	}
	return e.goodWeight / e.totalWeight
}

// exponentialDecay returns the factor by which a weight changes over the age, which may be negative.
func exponentialDecay(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// wilsonInterval returns Wilson's score interval, which stays between 0 and 1 even for shares near
// those ends.
func wilsonInterval(mean, count, z float64) Bound {
	count = max(count, 1)
	zSquaredPerCount := z * z / count
	center := (mean + zSquaredPerCount/2) / (1 + zSquaredPerCount)
	halfWidth := z * math.Sqrt(mean*(1-mean)/count+zSquaredPerCount/(4*count)) / (1 + zSquaredPerCount)
	return Bound{Mean: mean, Lower: max(center-halfWidth, 0), Upper: min(center+halfWidth, 1), Weight: count}
}
