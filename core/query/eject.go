package query

import (
	"cmp"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	failuresToEject = 5
	slowFactor      = 3.0
	samplesToEject  = 3
	peersCompared   = 24
	firstEjection   = 10 * time.Second
	longestEjection = 5 * time.Minute
)

// Eject returns until when the server should get no new work; it is zero where the server should stay in.
func Eject(s state.State, b value.BackendServer, loads Loads, rnd policy.Rand, now time.Time) time.Time {
	l := loads(b.ID)
	if l.Ejected.After(now) || !isOutlier(s, b, l, loads, rnd) || !mayEject(s, b.Pool, loads, now) {
		return time.Time{}
	}
	return now.Add(min(longestEjection, firstEjection<<min(l.Ejections, 6)))
}

// IsSlow reports whether the observed time to the first piece is far above that of the server's peers.
func IsSlow(s state.State, b value.BackendServer, loads Loads, rnd policy.Rand) bool {
	l := loads(b.ID)
	normal := typicalFirst(s.Members(b.Pool), b.ID, loads, rnd)
	return normal > 0 && float64(l.FirstToken.Mean) > slowFactor*float64(normal)
}

// HasRecovered reports whether a server that was ejected answers normally again.
func HasRecovered(s state.State, b value.BackendServer, loads Loads, rnd policy.Rand, now time.Time) bool {
	l := loads(b.ID)
	return l.Ejections > 0 && !l.Ejected.After(now) && l.Failures == 0 && !IsSlow(s, b, loads, rnd)
}

func isOutlier(s state.State, b value.BackendServer, l value.Load, loads Loads, rnd policy.Rand) bool {
	if l.Failures >= failuresToEject {
		return true
	}
	if l.Ejections == 0 && l.FirstToken.Weight < samplesToEject {
		return false
	}
	return IsSlow(s, b, loads, rnd)
}

// typicalFirst is the median of a few peers, so that its cost doesn't grow with the pool.
func typicalFirst(members []value.BackendServer, self value.ServerID, loads Loads, rnd policy.Rand) time.Duration {
	if len(members) == 0 {
		return 0
	}
	var seen []time.Duration
	start := rnd.IntN(len(members))
	for i := range min(peersCompared, len(members)) {
		b := members[(start+i)%len(members)]
		first := loads(b.ID).FirstToken
		if b.ID != self && first.Weight > 0 {
			seen = append(seen, first.Mean)
		}
	}
	if len(seen) == 0 {
		return 0
	}
	slices.SortFunc(seen, cmp.Compare)
	return seen[len(seen)/2]
}

// mayEject keeps the pool's least share of healthy servers in.
func mayEject(s state.State, p value.PoolName, loads Loads, now time.Time) bool {
	pool, _ := s.Pool(p)
	members := s.Members(p)
	healthy := 0
	for _, b := range members {
		if !loads(b.ID).Ejected.After(now) {
			healthy++
		}
	}
	return healthy > 1 && float64(healthy-1) >= pool.MinHealthy*float64(len(members))
}
