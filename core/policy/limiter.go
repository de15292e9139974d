package policy

import (
	"math"
	"time"
)

// Limiter bounds concurrent work by the latency that the work sees; the zero value stands at its first bound.
type Limiter struct {
	limit    float64
	unloaded time.Duration
}

// LimiterConfig sets the bounds of a Limiter.
type LimiterConfig struct {
	// First is the bound before anything was seen.
	First float64
	// Least and Most bound the bound.
	Least float64
	Most  float64
	// Tolerance is how many times the unloaded latency is taken for normal.
	Tolerance float64
	// Backoff is the factor, from 0 to 1, that a sign of overload multiplies the bound by.
	Backoff float64
	// Drift is the share by which the unloaded latency follows each slower sample.
	Drift float64
}

// Limit returns the present bound, at least 1.
func (l Limiter) Limit(c LimiterConfig) int {
	return max(1, int(l.at(c)))
}

// WithSample returns a limiter that has seen a run of the given latency while so many were in flight.
func (l Limiter) WithSample(c LimiterConfig, latency time.Duration, inFlight int) Limiter {
	limit := l.at(c)
	l.unloaded = l.baseline(c, latency)
	normal := float64(l.unloaded) * c.Tolerance
	if latency > 0 && float64(latency) > normal {
		// The bound follows the gradient between normal and seen latency, by a part each time.
		gradient := max(c.Backoff, normal/float64(latency))
		limit *= 1 - (1-gradient)/limit
		return l.with(c, limit)
	}
	if float64(inFlight) < limit/2 {
		return l.with(c, limit)
	}
	return l.with(c, limit+1/limit)
}

// WithOverload returns a limiter that has seen a sign of overload, such as a refusal or a timeout.
func (l Limiter) WithOverload(c LimiterConfig) Limiter {
	return l.with(c, l.at(c)*c.Backoff)
}

func (l Limiter) at(c LimiterConfig) float64 {
	if l.limit == 0 {
		return max(c.First, 1)
	}
	return l.limit
}

func (l Limiter) with(c LimiterConfig, limit float64) Limiter {
	l.limit = math.Min(math.Max(limit, max(c.Least, 1)), max(c.Most, c.First))
	return l
}

// baseline falls at once with a faster sample and rises slowly with slower ones.
func (l Limiter) baseline(c LimiterConfig, latency time.Duration) time.Duration {
	if l.unloaded == 0 || latency < l.unloaded {
		return latency
	}
	return l.unloaded + time.Duration(float64(latency-l.unloaded)*c.Drift)
}
