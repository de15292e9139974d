package state

import (
	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Departures returns the backend servers that the list has shown as leaving, as far as that still decides on their work.
func (s State) Departures() policy.Table[value.ServerID, value.Departure] {
	return s.departures
}

// WithDepartures returns a state in which some departures are added or replaced and others removed.
func (s State) WithDepartures(changed map[value.ServerID]value.Departure, removed []value.ServerID) State {
	s.departures = s.departures.Edit(changed, removed)
	return s
}

// RejoiningServers returns how many servers the list shows as live again that get no work yet.
func (s State) RejoiningServers() int {
	n := 0
	for _, d := range s.departures.Unordered() {
		if !d.LiveSince.IsZero() {
			n++
		}
	}
	return n
}
