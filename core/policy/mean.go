package policy

import (
	"math"
	"time"
)

// DecayingMean is an average of durations in which older samples count less; the zero value has no samples.
type DecayingMean struct {
	// Mean is the weighted average of the samples.
	Mean time.Duration
	// Weight is the effective number of samples behind the average.
	Weight float64
	// At is the time of the latest sample.
	At time.Time
}

// DecayingMeanConfig sets how fast samples lose weight in a DecayingMean.
type DecayingMeanConfig struct {
	// HalfLife is the age at which a sample has lost half of its weight.
	HalfLife time.Duration
	// MaxWeight bounds the effective number of samples.
	MaxWeight float64
}

// With returns an average that includes the sample.
func (m DecayingMean) With(c DecayingMeanConfig, sample time.Duration, at time.Time) DecayingMean {
	oldWeight := min(m.Weight*decayFactor(c.HalfLife, at.Sub(m.At)), c.MaxWeight-1)
	if m.Weight == 0 {
		oldWeight = 0
	}
	mean := (float64(m.Mean)*oldWeight + float64(sample)) / (oldWeight + 1)
	return DecayingMean{Mean: time.Duration(mean), Weight: oldWeight + 1, At: at}
}

// MeanAt returns the mean, lowered with the age of the latest sample, so that a candidate that is
// avoided because of a high mean, and so has no new samples, is tried again later.
func (m DecayingMean) MeanAt(halfLife time.Duration, now time.Time) time.Duration {
	if m.Weight == 0 {
		return 0
	}
	return time.Duration(float64(m.Mean) * decayFactor(halfLife, now.Sub(m.At)))
}

// decayFactor returns the factor by which a weight changes over the age; a negative age counts as 0.
func decayFactor(halfLife, age time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
