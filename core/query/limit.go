package query

import (
	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Settings of the adaptive limit on concurrent requests, see policy.LimiterConfig.
const (
	latencyTolerance = 2.0
	overloadBackoff  = 0.7
	baselineDrift    = 0.002
	// shortReserve is the share of a server's concurrency slots that long requests may not use.
	shortReserve = 0.25
)

// LimiterConfigFor returns the configuration by which the instance limits its concurrent requests at
// each server of the pool, and false if the pool sets no limit.
//
// The pool's limit applies to one server. Each live instance starts with an equal part of it and
// adapts to the observed latency, so that an instance with more demand uses capacity that others
// leave free.
func LimiterConfigFor(s state.State, p value.PoolName) (policy.LimiterConfig, bool) {
	pool, ok := s.Pool(p)
	if !ok || pool.MaxInFlight <= 0 {
		return policy.LimiterConfig{}, false
	}
	return limiterConfig(s, pool), true
}

func limiterConfig(s state.State, p value.Pool) policy.LimiterConfig {
	maxInFlight := float64(p.MaxInFlight)
	return policy.LimiterConfig{
		Initial:   max(1, maxInFlight/float64(max(1, s.LiveInstances()))),
		Min:       1,
		Max:       maxInFlight,
		Tolerance: latencyTolerance,
		Backoff:   overloadBackoff,
		Drift:     baselineDrift,
	}
}

// HasCapacity reports whether the server has capacity for one more request of this instance.
func HasCapacity(s state.State, p value.PoolName, l value.Load, long bool) bool {
	c, bounded := LimiterConfigFor(s, p)
	if !bounded {
		return true
	}
	return hasCapacity(c, l, long)
}

func hasCapacity(c policy.LimiterConfig, l value.Load, long bool) bool {
	limit := l.Limiter.Limit(c)
	if l.InFlight >= limit {
		return false
	}
	return !long || l.LongInFlight < maxLong(limit)
}

// maxLong returns how many long requests may run at once at a server with the given limit.
func maxLong(limit int) int {
	return max(1, limit-max(1, int(shortReserve*float64(limit))))
}
