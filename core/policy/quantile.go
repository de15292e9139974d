package policy

import "time"

// Quantile follows one quantile of a stream of durations; the zero value has seen nothing.
type Quantile struct {
	value float64
	seen  int
}

// QuantileConfig says which quantile is followed, and how fast.
type QuantileConfig struct {
	// Of is the share of samples below the quantile, from 0 to 1.
	Of float64
	// Step is the relative change that one sample may cause, from 0 to 1.
	Step float64
	// MinSeen is how many samples are needed before there is an estimate.
	MinSeen int
}

// With returns an estimate that has also seen the sample.
func (q Quantile) With(c QuantileConfig, sample time.Duration) Quantile {
	x := float64(sample)
	switch {
	case q.seen == 0:
		q.value = x
	case x > q.value:
		q.value *= 1 + c.Step*c.Of
	default:
		q.value *= 1 - c.Step*(1-c.Of)
	}
	q.seen++
	return q
}

// Value returns the estimate, which is zero until enough samples were seen.
func (q Quantile) Value(c QuantileConfig) time.Duration {
	if q.seen < c.MinSeen {
		return 0
	}
	return time.Duration(q.value)
}
