package query

import (
	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	latencyTolerance = 2.0
	overloadBackoff  = 0.7
	baselineDrift    = 0.002
	// shortReserve is the share of a server's places that long runs leave free.
	shortReserve = 0.25
)

// Limits returns how the instance bounds its concurrent requests at one server of the pool, and
// whether it does.
//
// The pool's bound is one server's; each live instance starts from its part of it and adapts to
// the latency that it sees, so that an instance with more demand gets what others leave unused.
func Limits(s state.State, p value.PoolName) (policy.LimiterConfig, bool) {
	pool, ok := s.Pool(p)
	if !ok || pool.MaxInFlight <= 0 {
		return policy.LimiterConfig{}, false
	}
	return limitsOf(s, pool), true
}

func limitsOf(s state.State, p value.Pool) policy.LimiterConfig {
	most := float64(p.MaxInFlight)
	return policy.LimiterConfig{
		First:     max(1, most/float64(max(1, s.LiveInstances()))),
		Least:     1,
		Most:      most,
		Tolerance: latencyTolerance,
		Backoff:   overloadBackoff,
		Drift:     baselineDrift,
	}
}

// HasRoom reports whether the server may take one more request of this instance.
func HasRoom(s state.State, p value.PoolName, l value.Load, long bool) bool {
	c, bounded := Limits(s, p)
	if !bounded {
		return true
	}
	return hasRoom(c, l, long)
}

func hasRoom(c policy.LimiterConfig, l value.Load, long bool) bool {
	limit := l.Limiter.Limit(c)
	if l.InFlight >= limit {
		return false
	}
	return !long || l.Long < longPlaces(limit)
}

func longPlaces(limit int) int {
	return max(1, limit-max(1, int(shortReserve*float64(limit))))
}
