package query

import (
	"strconv"

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

// Gone reports whether the instance has left for good, as far as this one knows.
func Gone(s state.State, id value.InstanceID) bool {
	i, ok := s.Instance(id)
	return ok && i.State == value.InstanceGone
}
