package query

import (
	"strconv"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	// billReplicaCount is how many other instances store copies of an instance's bills.
	billReplicaCount = 2
	// maxReplicaDraws bounds the hash slots whose owners are considered.
	maxReplicaDraws = 32
)

// BillReplicas returns the instances that store copies of this one's bills: live ones, preferably in
// other failure domains. They stay the same as long as the fleet does.
//
// They are the owners of hash slots derived from the instance's identifier, so that the cost of a
// call does not depend on the size of the fleet.
func BillReplicas(s state.State) []value.Instance {
	var remote, local []value.Instance
	for draw := range maxReplicaDraws {
		i, ok := Owner(s, Slot(string(s.Self.ID)+"/"+strconv.Itoa(draw)))
		if !ok || i.ID == s.Self.ID || i.State != value.InstanceLive {
			continue
		}
		if i.FailureDomain == s.Self.FailureDomain {
			local = appendUnique(local, i)
			continue
		}
		remote = appendUnique(remote, i)
		if len(remote) == billReplicaCount {
			return remote
		}
	}
	chosen := append(remote, local...)
	return chosen[:min(len(chosen), billReplicaCount)]
}

func appendUnique(list []value.Instance, i value.Instance) []value.Instance {
	for _, have := range list {
		if have.ID == i.ID {
			return list
		}
	}
	return append(list, i)
}

// departureGrace is how long a leaving instance has to flush its own bills.
const departureGrace = 40 * time.Second

// NeedsBillTakeover reports whether the instances that store copies of the instance's bills should
// write them to the key-value service, because the instance has departed or has been leaving for
// departureGrace.
//
// This is safe even if the instance still runs: the segments of its chain are created by
// compare-and-swap in the key-value service, so that all of these instances may write them
// concurrently.
func NeedsBillTakeover(s state.State, id value.InstanceID, now time.Time) bool {
	i, ok := s.Instance(id)
	if !ok {
		return false
	}
	return i.State == value.InstanceGone || i.State == value.InstanceLeaving && now.Sub(i.Since) >= departureGrace
}

// HasDeparted reports whether this instance knows that the other one has departed.
func HasDeparted(s state.State, id value.InstanceID) bool {
	i, ok := s.Instance(id)
	return ok && i.State == value.InstanceGone
}
