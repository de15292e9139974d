package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// InstanceStatus is what an instance knows of another one's state in the fleet.
type InstanceStatus struct {
	Instance value.Instance
	// Lag is for how long the instance has known of a newer configuration than it has in force.
	Lag time.Duration
	// SinceLastContact is the time since the last contact; zero for the instance itself and without
	// any contact. It can be long in a large fleet, where an instance receives the state of most
	// others only through a few.
	SinceLastContact time.Duration
}

// Fleet returns the status of each known instance, in the order of identifiers.
func Fleet(s state.State, now time.Time) []InstanceStatus {
	statuses := make([]InstanceStatus, 0, s.Instances().Len())
	for _, i := range s.Instances().All() {
		statuses = append(statuses, instanceStatusOf(s, i, now))
	}
	return statuses
}

func instanceStatusOf(s state.State, i value.Instance, now time.Time) InstanceStatus {
	result := InstanceStatus{Instance: i}
	if !i.LaggingSince.IsZero() {
		result.Lag = now.Sub(i.LaggingSince)
	}
	if !i.LastContact.IsZero() && i.ID != s.Self.ID {
		result.SinceLastContact = now.Sub(i.LastContact)
	}
	return result
}
