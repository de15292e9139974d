package query

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/fleet"
	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// View returns the instances that this one probes and pushes to.
//
// It rotates, so that every instance is probed by others in the long run, and
// stays the same in between, so that a node keeps few connections.
func View(s state.State, t fleet.Timing, now time.Time) []value.Instance {
	self := string(s.Self.ID)
	// Each instance rotates at another moment.
	shift := time.Duration(xxhash.Sum64String(self) % uint64(t.Rotation))
	epoch := now.Add(shift).UnixNano() / int64(t.Rotation)
	ids := s.Owners().Top(self+"/"+strconv.FormatInt(epoch, 10), t.View+1)
	view := make([]value.Instance, 0, len(ids))
	for _, id := range ids {
		if i, ok := s.Instance(id); ok && id != s.Self.ID {
			view = append(view, i)
		}
	}
	return view[:min(len(view), t.View)]
}

// ProbeTarget returns the instance to probe next, and false where there is none.
//
// Now and then it is one that is gone but still listed, which mends the fleet
// after its parts were cut from one another.
func ProbeTarget(s state.State, t fleet.Timing, rnd policy.Rand, now time.Time) (value.Instance, bool) {
	if lost := lostButListed(s); len(lost) > 0 && rnd.IntN(t.Reconnect) == 0 {
		return lost[rnd.IntN(len(lost))], true
	}
	view := View(s, t, now)
	if len(view) == 0 {
		return value.Instance{}, false
	}
	return view[rnd.IntN(len(view))], true
}

func lostButListed(s state.State) []value.Instance {
	var lost []value.Instance
	for id := range s.Unsettled().All() {
		if i, ok := s.Instance(id); ok && i.Listed && i.State == value.InstanceGone {
			lost = append(lost, i)
		}
	}
	return lost
}

// Helpers returns the instances to ask for an indirect probe of the target.
func Helpers(s state.State, t fleet.Timing, target value.InstanceID, rnd policy.Rand, now time.Time) []value.Instance {
	view := slices.DeleteFunc(View(s, t, now), func(i value.Instance) bool { return i.ID == target })
	return some(view, t.Helpers, rnd)
}

// PushTargets returns the instances to tell at once of a new configuration.
func PushTargets(s state.State, t fleet.Timing, rnd policy.Rand, now time.Time) []value.Instance {
	return some(View(s, t, now), t.Fanout, rnd)
}

// News returns what a message to the instance tells of others, the least passed on first.
//
// Where the instance itself is held to be other than live it comes first, so that it can refute.
func News(s state.State, t fleet.Timing, to value.InstanceID) []value.Instance {
	type item struct {
		id   value.InstanceID
		left int
	}
	var items []item
	for id, left := range s.Rumours().All() {
		if id != s.Self.ID && id != to {
			items = append(items, item{id: id, left: left})
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.id, b.id))
	})
	news := make([]value.Instance, 0, t.Batch)
	if i, ok := s.Instance(to); ok && i.State != value.InstanceLive {
		news = append(news, i)
	}
	for _, it := range items[:min(len(items), t.Batch)] {
		if i, ok := s.Instance(it.id); ok {
			news = append(news, i)
		}
	}
	return news
}

// some returns n of the list in random order.
func some[T any](list []T, n int, rnd policy.Rand) []T {
	n = min(n, len(list))
	for i := range n {
		j := i + rnd.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
