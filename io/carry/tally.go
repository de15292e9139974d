package carry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// slowFactor is how many times the usual time until an answer makes a run slow.
const slowFactor = 3

// usualTime follows the time until an answer, by kind of request, whatever the release.
var usualTime = policy.SmoothConfig{HalfLife: 20 * time.Second, MaxWeight: 50}

type releaseKey struct {
	service relay.ServiceName
	release relay.Release
}

type kindKey struct {
	route relay.RouteName
	model relay.ModelName
}

// tallies counts runs by release.
type tallies struct {
	mu    sync.Mutex
	count map[releaseKey]relay.Tally
	usual map[kindKey]policy.Smooth
}

// add counts a run; took is zero for one that failed.
func (t *tallies) add(v relay.Server, k kindKey, failed bool, took time.Duration, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == nil {
		t.count = make(map[releaseKey]relay.Tally)
		t.usual = make(map[kindKey]policy.Smooth)
	}
	usual := t.usual[k]
	slow := !failed && usual.Weight > 5 && took > slowFactor*usual.Mean
	if !failed && !slow {
		t.usual[k] = usual.With(usualTime, took, at)
	}
	key := releaseKey{v.Service, v.Release}
	n := t.count[key]
	n.Service, n.Release = v.Service, v.Release
	t.count[key] = n.With(failed, slow)
}

func (t *tallies) all() []relay.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]relay.Tally, 0, len(t.count))
	for _, n := range t.count {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b relay.Tally) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Release, b.Release))
	})
	return list
}
