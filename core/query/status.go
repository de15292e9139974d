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
	// SinceLastSeen is the time since the last sign of life. It can be long in a large fleet, where an
	// instance hears of most others only through a few.
	SinceLastSeen time.Duration
}

// Fleet returns the standing of each known instance, in the order of identifiers.
func Fleet(s state.State, now time.Time) []InstanceStatus {
	standings := make([]InstanceStatus, 0, s.Instances().Len())
	for _, i := range s.Instances().All() {
		standings = append(standings, standingOf(s, i, now))
	}
	return standings
}

func standingOf(s state.State, i value.Instance, now time.Time) InstanceStatus {
	result := InstanceStatus{Instance: i}
	if !i.LaggingSince.IsZero() {
		result.Lag = now.Sub(i.LaggingSince)
	}
	if !i.LastContact.IsZero() && i.ID != s.Self.ID {
		result.SinceLastSeen = now.Sub(i.LastContact)
	}
	return result
}
