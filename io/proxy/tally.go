package proxy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// slowFactor is the multiple of the usual answer time above which an attempt counts as slow.
const slowFactor = 3

// usualTimeConfig smooths the answer time of each kind of request over all releases.
var usualTimeConfig = policy.DecayingMeanConfig{HalfLife: 20 * time.Second, MaxWeight: 50}

type releaseKey struct {
	service relay.ServiceName
	release relay.Release
}

// usualTimeKey is a kind of request, whose answer times are comparable.
type usualTimeKey struct {
	route relay.RouteName
	model relay.ModelName
}

// tallies counts attempts by release.
type tallies struct {
	mu         sync.Mutex
	byRelease  map[releaseKey]relay.Tally
	usualTimes map[usualTimeKey]policy.DecayingMean
}

// add counts an attempt. An attempt counts as slow only once the usual time rests on enough answers. One
// that failed or was slow does not change the usual time.
func (t *tallies) add(server relay.Server, kind usualTimeKey, failed bool, took time.Duration, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRelease == nil {
		t.byRelease = make(map[releaseKey]relay.Tally)
		t.usualTimes = make(map[usualTimeKey]policy.DecayingMean)
	}
	usual := t.usualTimes[kind]
	slow := !failed && usual.Weight > 5 && took > slowFactor*usual.Mean
	if !failed && !slow {
		t.usualTimes[kind] = usual.With(usualTimeConfig, took, at)
	}
	key := releaseKey{server.Service, server.Release}
	tally := t.byRelease[key]
	tally.Service, tally.Release = server.Service, server.Release
	t.byRelease[key] = tally.With(failed, slow)
}

// all returns the tallies, ordered by service and release.
func (t *tallies) all() []relay.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]relay.Tally, 0, len(t.byRelease))
	for _, tally := range t.byRelease {
		list = append(list, tally)
	}
	slices.SortFunc(list, func(a, b relay.Tally) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Release, b.Release))
	})
	return list
}
