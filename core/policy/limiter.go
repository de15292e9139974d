package policy

import (
	"math"
	"time"
)

// Limiter is an adaptive concurrency limit that follows measured latency; the zero value has the
// configured initial limit.
type Limiter struct {
	limit float64
	// unloaded is the estimated latency of an attempt without queueing; zero means no sample yet.
	unloaded time.Duration
}

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	// Initial is the limit before the first sample.
	Initial float64
	// Min and Max are the lowest and the highest limit; a Max below Initial counts as Initial.
	Min float64
	Max float64
	// Tolerance is the ratio of the highest normal latency to the unloaded latency.
	Tolerance float64
	// Backoff is the factor, from 0 to 1, that a sign of overload multiplies the limit by.
	Backoff float64
	// Drift is how far the unloaded latency rises towards each slower sample, as a share, from 0 to 1,
	// of the difference between them.
	Drift float64
}

// Limit returns the present limit, at least 1.
func (l Limiter) Limit(c LimiterConfig) int {
	return max(1, int(l.currentLimit(c)))
}

// WithSample returns the limiter after an attempt of the given latency, while inFlight were running.
func (l Limiter) WithSample(c LimiterConfig, latency time.Duration, inFlight int) Limiter {
	limit := l.currentLimit(c)
	l.unloaded = l.baselineAfter(c, latency)
	normal := float64(l.unloaded) * c.Tolerance
	if latency > 0 && float64(latency) > normal {
		// The gradient is the ratio of normal to measured latency. One slow sample lowers the limit by
		// 1-gradient, so one from each of as many concurrent attempts as the limit allows multiplies
		// the limit by about the gradient.
		gradient := max(c.Backoff, normal/float64(latency))
		limit *= 1 - (1-gradient)/limit
		return l.withLimit(c, limit)
	}
	// While less than half of the limit is in use, a fast sample says nothing about a higher limit.
	if float64(inFlight) < limit/2 {
		return l.withLimit(c, limit)
	}
	return l.withLimit(c, limit+1/limit)
}

// WithOverload returns the limiter after a sign of overload, such as a refusal or a timeout.
func (l Limiter) WithOverload(c LimiterConfig) Limiter {
	return l.withLimit(c, l.currentLimit(c)*c.Backoff)
}

func (l Limiter) currentLimit(c LimiterConfig) float64 {
	if l.limit == 0 {
		return max(c.Initial, 1)
	}
	return l.limit
}

func (l Limiter) withLimit(c LimiterConfig, limit float64) Limiter {
	l.limit = math.Min(math.Max(limit, max(c.Min, 1)), max(c.Max, c.Initial))
	return l
}

// baselineAfter returns the unloaded latency after a sample: it falls to a faster sample at once and
// rises by the share Drift towards a slower one.
func (l Limiter) baselineAfter(c LimiterConfig, latency time.Duration) time.Duration {
	if l.unloaded == 0 || latency < l.unloaded {
		return latency
	}
	return l.unloaded + time.Duration(float64(latency-l.unloaded)*c.Drift)
}
