package relay

import (
	"maps"
	"time"

	"endivehitch/core/policy"
)

const (
	// departureLifetime is how long the last entry of a server that is gone is known, and maxDepartures for how many servers.
	// The store may carry out a write of the server late.
	departureLifetime = 10 * time.Minute
	maxDepartures     = 1024
	// outdatedGrace is how long an outdated entry is not used. Meanwhile a live server writes its entry again, and the store
	// removes that of a server that has ended. A server whose clock was set back writes nothing newer.
	outdatedGrace = 30 * time.Second
)

// departure is the last entry of a server that is gone.
type departure struct {
	server Server
	at     time.Time
}

// outdatedEntry is an entry in the store that its server wrote before the one that is known.
type outdatedEntry struct {
	change Change
	// until is when it is used all the same, if nothing newer is written.
	until time.Time
}

// isOutdated reports whether the server wrote the entry before the one that was read last.
func (s State) isOutdated(change Change, at time.Time) bool {
	if change.Gone || change.Entry.Server == nil {
		return false
	}
	known := s.entries[change.Key].Entry.Server
	if left, ok := s.departed.Get(change.Key); known == nil && ok && at.Sub(left.at) < departureLifetime {
		known = &left.server
	}
	return known != nil && change.Entry.Server.IsOlderThan(*known)
}

// withOutdated returns a state in which the store holds the outdated entry, which isn't used yet.
func (s State) withOutdated(change Change, at time.Time) State {
	until := at.Add(outdatedGrace)
	if held, ok := s.outdated[change.Key]; ok {
		until = held.until
	}
	s.outdated = maps.Clone(s.outdated)
	if s.outdated == nil {
		s.outdated = make(map[string]outdatedEntry)
	}
	s.outdated[change.Key] = outdatedEntry{change: change, until: until}
	return s
}

// withoutOutdated returns a state in which the store doesn't hold an outdated entry under the key.
func (s State) withoutOutdated(key string) State {
	if _, ok := s.outdated[key]; !ok {
		return s
	}
	s.outdated = maps.Clone(s.outdated)
	delete(s.outdated, key)
	return s
}

// withDeparture returns a state that knows the last entry of a server that is gone.
func (s State) withDeparture(key string, last Entry, at time.Time) State {
	if last.Server == nil {
		return s
	}
	s.departed = s.departed.With(key, departure{server: *last.Server, at: at})
	if s.departed.Len() <= maxDepartures {
		return s
	}
	times := make(map[string]time.Time, s.departed.Len())
	for other, left := range s.departed.Unordered() {
		times[other] = left.at
	}
	s.departed = s.departed.Edit(nil, policy.Oldest(times, len(times)-maxDepartures))
	return s
}

// withOverdueOutdated returns a state that uses the outdated entries after which nothing newer was written in time.
func (s State) withOverdueOutdated(at time.Time) State {
	for key, held := range s.outdated {
		if at.After(held.until) {
			s = s.withoutOutdated(key)
			s.entries = maps.Clone(s.entries)
			s.entries[key] = held.change.withWarmUpEnd(at)
		}
	}
	return s
}

// OutdatedEntries returns how many entries in the store are not used because their servers wrote them before the ones that
// were read last.
func (s State) OutdatedEntries() int {
	return len(s.outdated)
}

// HasOutdatedEntry reports whether the store holds such an entry under the key.
func (s State) HasOutdatedEntry(key string) bool {
	_, ok := s.outdated[key]
	return ok
}
