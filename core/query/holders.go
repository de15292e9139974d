package query

import (
	"strconv"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	// billHolders is how many other instances hold copies of an instance's bills.
	billHolders = 2
	// holderDraws bounds the slots that are looked at for holders.
	holderDraws = 32
)

// Holders returns the instances that hold copies of this one's bills: live ones, in other failure
// domains where there are any, the same ones while the fleet stays the same.
//
// They are drawn among the owners of slots, so that a call costs the same in a fleet of any size.
func Holders(s state.State) []value.Instance {
	var away, near []value.Instance
	for draw := range holderDraws {
		i, ok := Owner(s, Slot(string(s.Self.ID)+"/"+strconv.Itoa(draw)))
		if !ok || i.ID == s.Self.ID || i.State != value.InstanceLive {
			continue
		}
		if i.FailureDomain == s.Self.FailureDomain {
			near = addOnce(near, i)
			continue
		}
		away = addOnce(away, i)
		if len(away) == billHolders {
			return away
		}
	}
	chosen := append(away, near...)
	return chosen[:min(len(chosen), billHolders)]
}

func addOnce(list []value.Instance, i value.Instance) []value.Instance {
	for _, have := range list {
		if have.ID == i.ID {
			return list
		}
	}
	return append(list, i)
}

// leavingTime is how long an instance that says that it leaves may take to write its own bills.
const leavingTime = 40 * time.Second

// Departed reports whether holders are to write what they hold of the instance's bills: it has left
// for good, or it has been leaving for longer than that takes.
//
// It may be true of an instance that still lives, since two writers of one chain meet at the store.
func Departed(s state.State, id value.InstanceID, now time.Time) bool {
	i, ok := s.Instance(id)
	if !ok {
		return false
	}
	return i.State == value.InstanceGone || i.State == value.InstanceLeaving && now.Sub(i.Since) >= leavingTime
}

// Gone reports whether the instance has left for good, as far as this one knows.
func Gone(s state.State, id value.InstanceID) bool {
	i, ok := s.Instance(id)
	return ok && i.State == value.InstanceGone
}
