package proxy

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

const (
	// slowFactor is the multiple of the usual time above which an attempt counts as slow.
	slowFactor = 3
	// measuredEvents is the number of events of a stream up to which an attempt's time counts. It covers the wait,
	// the prefill and the pace, while the whole time depends more on the length of the answer.
	measuredEvents = 4
	// minUsualWeight is the weight of the usual time from which it decides.
	minUsualWeight = 5
	// minPendingRuns is the number of attempts that are not due below which none is looked for that is.
	minPendingRuns = 64
)

// runResult is what an attempt says of its server's release.
type runResult struct {
	// Failed is set when the server answered with an error of its own.
	Failed bool
	// Overdue is set when the attempt has taken so long already, or was given up for it.
	Overdue bool
	// UnderLoad is set when the server was loaded.
	UnderLoad bool
	// Time is the time until the measured part of the answer was there.
	Time time.Duration
}

// usualTimeConfig smooths the time of each kind of request over all releases.
var usualTimeConfig = policy.DecayingMeanConfig{HalfLife: 20 * time.Second, MaxWeight: 50}

type releaseKey struct {
	service relay.ServiceName
	release relay.Release
}

// usualTimeKey is a kind of request, whose times are comparable.
type usualTimeKey struct {
	route relay.RouteName
	model relay.ModelName
}

// tallies counts attempts by release.
type tallies struct {
	mu         sync.Mutex
	byRelease  map[releaseKey]relay.Tally
	usualTimes map[usualTimeKey]policy.DecayingMean
	// pending holds attempts that were fast, until they are due. Once there are settleAt of them, those that are due are
	// counted.
	pending  []pendingRun
	settleAt int
}

// pendingRun is an attempt that counts from the time at which it would have been slow. If it counted at once, a release
// that has just got more traffic would seem fast, as its slow attempts are counted later.
type pendingRun struct {
	key   releaseKey
	run   relay.Run
	dueAt time.Time
}

// add counts an attempt. The usual time rests on the attempts that neither failed nor were slow, and decides only once
// there are enough of them.
func (t *tallies) add(server relay.Server, kind usualTimeKey, result runResult, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRelease == nil {
		t.byRelease = make(map[releaseKey]relay.Tally)
		t.usualTimes = make(map[usualTimeKey]policy.DecayingMean)
	}
	usual := t.usualTimes[kind]
	limit := slowLimit(usual)
	slow := result.Overdue || (!result.Failed && result.Time > limit)
	key := releaseKey{server.Service, server.Release}
	run := relay.Run{Failed: result.Failed, Slow: slow, UnderLoad: result.UnderLoad}
	if run.Failed || run.Slow {
		t.count(key, run)
		return
	}
	t.usualTimes[kind] = usual.With(usualTimeConfig, result.Time, at)
	if limit == math.MaxInt64 {
		t.count(key, run)
		return
	}
	t.pending = append(t.pending, pendingRun{key: key, run: run, dueAt: at.Add(limit - result.Time)})
	if len(t.pending) >= t.settleAt {
		t.settle(at)
	}
}

// count counts an attempt; the caller holds the lock.
func (t *tallies) count(key releaseKey, run relay.Run) {
	tally := t.byRelease[key]
	tally.Service, tally.Release = key.service, key.release
	t.byRelease[key] = tally.With(run)
}

// settle counts the pending attempts that are due; the caller holds the lock.
func (t *tallies) settle(now time.Time) {
	t.pending = slices.DeleteFunc(t.pending, func(p pendingRun) bool {
		isDue := !p.dueAt.After(now)
		if isDue {
			t.count(p.key, p.run)
		}
		return isDue
	})
	t.settleAt = max(minPendingRuns, 2*len(t.pending))
}

// slowLimit returns the time from which an attempt of the kind is slow.
func (t *tallies) slowLimit(kind usualTimeKey) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slowLimit(t.usualTimes[kind])
}

func slowLimit(usual policy.DecayingMean) time.Duration {
	if usual.Weight <= minUsualWeight {
		return math.MaxInt64
	}
	return slowFactor * usual.Mean
}

// all returns the tallies, ordered by service and release.
func (t *tallies) all(now time.Time) []relay.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(now)
	list := make([]relay.Tally, 0, len(t.byRelease))
	for _, tally := range t.byRelease {
		list = append(list, tally)
	}
	slices.SortFunc(list, func(a, b relay.Tally) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Release, b.Release))
	})
	return list
}
