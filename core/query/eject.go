package query

import (
	"cmp"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Rules of outlier ejection.
const (
	// failuresToEject is the number of consecutive failures after which a server is ejected.
	failuresToEject = 5
	// slowFactor is the multiple of the peers' median time to first token above which a server is slow.
	slowFactor = 3.0
	// minSamplesToEject is the sample weight needed before a server's first ejection for slowness.
	minSamplesToEject = 3
	// maxPeersSampled bounds the peers that a server is compared with.
	maxPeersSampled = 24
	// The duration of an ejection starts at baseEjection and doubles up to maxEjection.
	baseEjection = 10 * time.Second
	maxEjection  = 5 * time.Minute
)

// Eject returns when the ejection that the server is due for ends, or zero if it is not to be
// ejected.
//
// Consecutive failures or a long time to first token cause an ejection. Each further one without a
// recovery in between lasts twice as long as the last, up to a limit.
func Eject(s state.State, b value.BackendServer, loads LoadLookup, rnd policy.Rand, now time.Time) time.Time {
	l := loads(b.ID)
	if l.EjectedUntil.After(now) || !isOutlier(s, b, l, loads, rnd) || !mayEject(s, b.Pool, loads, now) {
		return time.Time{}
	}
	return now.Add(min(maxEjection, baseEjection<<min(l.Ejections, 6)))
}

// IsSlow reports whether the server's mean time to first token is more than slowFactor times the
// median of its peers.
func IsSlow(s state.State, b value.BackendServer, loads LoadLookup, rnd policy.Rand) bool {
	l := loads(b.ID)
	median := medianFirstToken(s.PoolServers(b.Pool), b.ID, loads, rnd)
	return median > 0 && float64(l.TimeToFirstToken.Mean) > slowFactor*float64(median)
}

// HasRecovered reports whether an ejection has ended and the server answers normally again.
func HasRecovered(s state.State, b value.BackendServer, loads LoadLookup, rnd policy.Rand, now time.Time) bool {
	l := loads(b.ID)
	return l.Ejections > 0 && !l.EjectedUntil.After(now) && l.Failures == 0 && !IsSlow(s, b, loads, rnd)
}

func isOutlier(s state.State, b value.BackendServer, l value.Load, loads LoadLookup, rnd policy.Rand) bool {
	if l.Failures >= failuresToEject {
		return true
	}
	if l.Ejections == 0 && l.TimeToFirstToken.Weight < minSamplesToEject {
		return false
	}
	return IsSlow(s, b, loads, rnd)
}

// medianFirstToken returns the median time to first token of a bounded number of peers, so that its
// cost does not grow with the pool; zero means that none is known.
func medianFirstToken(members []value.BackendServer, self value.ServerID, loads LoadLookup, rnd policy.Rand) time.Duration {
	if len(members) == 0 {
		return 0
	}
	var samples []time.Duration
	start := rnd.IntN(len(members))
	for i := range min(maxPeersSampled, len(members)) {
		b := members[(start+i)%len(members)]
		firstToken := loads(b.ID).TimeToFirstToken
		if b.ID != self && firstToken.Weight > 0 {
			samples = append(samples, firstToken.Mean)
		}
	}
	if len(samples) == 0 {
		return 0
	}
	slices.SortFunc(samples, cmp.Compare)
	return samples[len(samples)/2]
}

// mayEject reports whether the pool keeps its minimum share of healthy servers if one more is
// ejected.
func mayEject(s state.State, p value.PoolName, loads LoadLookup, now time.Time) bool {
	pool, _ := s.Pool(p)
	members := s.PoolServers(p)
	healthy := 0
	for _, b := range members {
		if !loads(b.ID).EjectedUntil.After(now) {
			healthy++
		}
	}
	return healthy > 1 && float64(healthy-1) >= pool.MinHealthy*float64(len(members))
}
