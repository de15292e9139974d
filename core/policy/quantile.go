package policy

import "time"

// Quantile is a streaming estimate of one quantile of durations; the zero value has no samples.
type Quantile struct {
	estimate float64
	samples  int
}

// QuantileConfig sets which quantile is estimated, and how fast the estimate adapts.
type QuantileConfig struct {
	// Level is the share of samples below the quantile, from 0 to 1.
	Level float64
	// Step is the relative change that one sample may cause, from 0 to 1.
	Step float64
	// MinSamples is how many samples are needed for an estimate.
	MinSamples int
}

// With returns an estimate that includes the sample.
func (q Quantile) With(c QuantileConfig, sample time.Duration) Quantile {
	x := float64(sample)
	switch {
	case q.samples == 0:
		q.estimate = x
	case x > q.estimate:
		q.estimate *= 1 + c.Step*c.Level
	default:
		q.estimate *= 1 - c.Step*(1-c.Level)
	}
	q.samples++
	return q
}

// Value returns the estimate, or zero while there are fewer than MinSamples samples.
func (q Quantile) Value(c QuantileConfig) time.Duration {
	if q.samples < c.MinSamples {
		return 0
	}
	return time.Duration(q.estimate)
}
