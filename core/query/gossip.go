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

// View returns the instances that this one probes and pushes configurations to.
//
// The view changes once per rotation, so that every instance is probed by others in the long run,
// and stays the same in between, so that an instance needs few connections.
func View(s state.State, t fleet.Timing, now time.Time) []value.Instance {
	self := string(s.Self.ID)
	// The offset keeps the instances from changing their views all at once.
	offset := time.Duration(xxhash.Sum64String(self) % uint64(t.Rotation))
	epoch := now.Add(offset).UnixNano() / int64(t.Rotation)
	ids := s.Owners().Top(self+"/"+strconv.FormatInt(epoch, 10), t.ViewSize+1)
	view := make([]value.Instance, 0, len(ids))
	for _, id := range ids {
		if i, ok := s.Instance(id); ok && id != s.Self.ID {
			view = append(view, i)
		}
	}
	return view[:min(len(view), t.ViewSize)]
}

// ProbeTarget returns the instance to probe next, and false if there is none.
//
// On average one probe in t.ProbesPerReconnect goes to an instance that counts as departed but is
// still on the platform's list. This is how the parts of a partitioned fleet rejoin
// after the partition has ended.
func ProbeTarget(s state.State, t fleet.Timing, rnd policy.Rand, now time.Time) (value.Instance, bool) {
	if departed := departedButListed(s); len(departed) > 0 && rnd.IntN(t.ProbesPerReconnect) == 0 {
		return departed[rnd.IntN(len(departed))], true
	}
	view := View(s, t, now)
	if len(view) == 0 {
		return value.Instance{}, false
	}
	return view[rnd.IntN(len(view))], true
}

func departedButListed(s state.State) []value.Instance {
	var departed []value.Instance
	for id := range s.NotLive().All() {
		if i, ok := s.Instance(id); ok && i.Listed && i.State == value.InstanceGone {
			departed = append(departed, i)
		}
	}
	return departed
}

// IndirectProbers returns random instances of the view to ask for an indirect probe of the target.
func IndirectProbers(s state.State, t fleet.Timing, target value.InstanceID, rnd policy.Rand, now time.Time) []value.Instance {
	view := slices.DeleteFunc(View(s, t, now), func(i value.Instance) bool { return i.ID == target })
	return pickRandom(view, t.IndirectProbes, rnd)
}

// PushTargets returns random instances of the view to send a new configuration to at once.
func PushTargets(s state.State, t fleet.Timing, rnd policy.Rand, now time.Time) []value.Instance {
	return pickRandom(View(s, t, now), t.Fanout, rnd)
}

// Updates returns the membership updates for a gossip message to the instance, those that have the
// most transmissions left first.
//
// If the receiver itself is not considered live, its own entry comes first, so that it can refute
// that.
func Updates(s state.State, t fleet.Timing, to value.InstanceID) []value.Instance {
	type pendingUpdate struct {
		id        value.InstanceID
		remaining int
	}
	var pending []pendingUpdate
	for id, remaining := range s.PendingUpdates().All() {
		if id != s.Self.ID && id != to {
			pending = append(pending, pendingUpdate{id: id, remaining: remaining})
		}
	}
	slices.SortFunc(pending, func(a, b pendingUpdate) int {
		return cmp.Or(cmp.Compare(b.remaining, a.remaining), cmp.Compare(a.id, b.id))
	})
	updates := make([]value.Instance, 0, t.MaxUpdates)
	if i, ok := s.Instance(to); ok && i.State != value.InstanceLive {
		updates = append(updates, i)
	}
	for _, next := range pending[:min(len(pending), t.MaxUpdates)] {
		if i, ok := s.Instance(next.id); ok {
			updates = append(updates, i)
		}
	}
	return updates
}

// pickRandom returns n random elements of the list, which it reorders.
func pickRandom[T any](list []T, n int, rnd policy.Rand) []T {
	n = min(n, len(list))
	for i := range n {
		j := i + rnd.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
