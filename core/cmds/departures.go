package cmds

import (
	"maps"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	// rejoinTime is how long the list must show a server as live after it has shown it as leaving, until the server gets work.
	// A reading may be older than the one before, by the lag of the list.
	rejoinTime = 10 * time.Second
	// departureLifetime and maxDepartures bound what is known of servers that have left and are not listed any more.
	departureLifetime = 10 * time.Minute
	maxDepartures     = 1024
)

// departureChanges are changes of what is known of servers that leave.
type departureChanges struct {
	changed map[value.ServerID]value.Departure
	removed map[value.ServerID]bool
}

// withDepartures returns the servers of a reading, in which those that have left lately count as leaving, and a state that knows
// which these are.
func withDepartures(s state.State, servers []value.BackendServer, now time.Time) (state.State, []value.BackendServer) {
	isLeaving := func(b value.BackendServer) bool { return b.State == value.ServerLeaving }
	if s.Departures().Len() == 0 && !slices.ContainsFunc(servers, isLeaving) {
		return s, servers
	}
	changes := departureChanges{changed: make(map[value.ServerID]value.Departure), removed: make(map[value.ServerID]bool)}
	listed := make(map[value.ServerID]bool, len(servers))
	counted := make([]value.BackendServer, 0, len(servers))
	for _, b := range servers {
		listed[b.ID] = true
		departure, isKnown := s.Departures().Get(b.ID)
		if isLeaving(b) || isKnown {
			b.State = changes.addListed(b, departure, now)
		}
		counted = append(counted, b)
	}
	changes.addGone(s, listed, now)
	return s.WithDepartures(changes.changed, slices.Collect(maps.Keys(changes.removed))), counted
}

// addListed adds the departure of a listed server, and returns the state in which the server counts.
func (c departureChanges) addListed(b value.BackendServer, departure value.Departure, now time.Time) value.ServerState {
	if b.State == value.ServerLeaving {
		c.changed[b.ID] = value.Departure{}
		return b.State
	}
	departure = departure.WithLive(now)
	if now.Sub(departure.LiveSince) >= rejoinTime {
		c.removed[b.ID] = true
		return b.State
	}
	c.changed[b.ID] = departure
	return value.ServerLeaving
}

// addGone adds the departures of servers that are not listed, without those that need not be known any longer.
func (c departureChanges) addGone(s state.State, listed map[value.ServerID]bool, now time.Time) {
	gone := make(map[value.ServerID]time.Time)
	for id, departure := range s.Departures().Unordered() {
		if listed[id] {
			continue
		}
		departure = departure.WithGone(now)
		if now.Sub(departure.GoneSince) >= departureLifetime {
			c.removed[id] = true
			continue
		}
		c.changed[id], gone[id] = departure, departure.GoneSince
	}
	for _, id := range policy.Oldest(gone, len(gone)-maxDepartures) {
		delete(c.changed, id)
		c.removed[id] = true
	}
}
