package relay

import (
	"maps"
	"time"

	"endivehitch/core/policy"
)

// WithFeed returns a state that includes the feed, if it is newer and leaves no gap. Servers
// whose entries vanished in a store outage stay in use for the grace period after it.
func (s State) WithFeed(feed Feed, at time.Time, grace time.Duration) State {
	if feed.Revision < s.Revision || (feed.Revision == s.Revision && s.Revision > 0) {
		return s
	}
	if !feed.Whole && feed.After > s.Revision {
		return s
	}
	updated := s
	updated.entries = maps.Clone(s.entries)
	updated.missing = maps.Clone(s.missing)
	if updated.entries == nil {
		updated.entries = make(map[string]Change)
		updated.missing = make(map[string]time.Time)
	}
	changes := feed.Changes
	if feed.Whole {
		changes = s.changesFrom(feed)
		updated.historyStart, updated.history = feed.Revision, policy.List[Change]{}
	}
	for _, c := range changes {
		if !feed.Whole && c.Revision <= s.Revision {
			continue
		}
		if !feed.Whole {
			updated = updated.withHistory(c)
		}
		updated = updated.withChange(c, at, grace)
	}
	updated.Revision = feed.Revision
	// Changes delayed by an outage may contain orders that were given at any time during it. The feed
	// that ends an outage of the whole fleet is applied at the very time that StoreRecoveredAt holds.
	observed := !feed.Whole && s.StoreUnreachableSince.IsZero() && !s.StoreRecoveredAt.Equal(at)
	return updated.indexed().withOrderTimes(s.rollOuts, observed, at)
}

// changesFrom returns the changes that lead to a full snapshot, with removals for what it lacks.
func (s State) changesFrom(feed Feed) []Change {
	present := make(map[string]bool, len(feed.Changes))
	changes := make([]Change, 0, len(feed.Changes))
	for _, c := range feed.Changes {
		present[c.Key] = true
		if old, ok := s.entries[c.Key]; !ok || old.Revision < c.Revision || s.isMissing(c.Key) {
			changes = append(changes, c)
		}
	}
	removed := func(key string) Change { return Change{Key: key, Revision: feed.Revision, Gone: true} }
	for key := range s.entries {
		if !present[key] {
			changes = append(changes, removed(key))
		}
	}
	for key := range s.outdated {
		if _, ok := s.entries[key]; !ok && !present[key] {
			changes = append(changes, removed(key))
		}
	}
	return changes
}

func (s State) isMissing(key string) bool {
	_, ok := s.missing[key]
	return ok
}

// maxHistory bounds the changes that are stored for readers that have missed them.
const maxHistory = 1024

// withHistory returns a state whose history ends with the change. Changes of a full snapshot have no place
// there: they are in no order, and lack the removals of entries that came and went.
func (s State) withHistory(change Change) State {
	s.history = s.history.With(change)
	if s.history.Len() > maxHistory {
		s.historyStart = s.history.At(0).Revision
		s.history = s.history.Without(1)
	}
	return s
}

// withChange applies one change; it writes to the state's entries and missing, which must be copies.
func (s State) withChange(change Change, at time.Time, grace time.Duration) State {
	// A full snapshot is read page by page, so an entry of a later page may be newer than the revision
	// of the snapshot. An older change that follows must not replace it.
	if s.entries[change.Key].Revision > change.Revision {
		return s
	}
	if s.isOutdated(change, at) {
		return s.withOutdated(change, at)
	}
	s = s.withoutOutdated(change.Key)
	previous, existed := s.entries[change.Key]
	delete(s.missing, change.Key)
	if !change.Gone {
		s.entries[change.Key] = change.withWarmUpEnd(at).withEvacuationStart(previous, at)
		return s
	}
	if existed && s.isRemovalInDoubt(previous, at, grace) {
		s.missing[change.Key] = s.StoreRecoveredAt.Add(grace)
		return s
	}
	delete(s.entries, change.Key)
	s = s.withDeparture(change.Key, previous.Entry, at)
	if previous.Entry.Evacuation != nil {
		return s.withReopened(previous.Entry.Evacuation.Domain, at)
	}
	return s
}

// withWarmUpEnd sets when the server's warm-up period ends: at the given time plus the rest of the period.
func (c Change) withWarmUpEnd(at time.Time) Change {
	if server := c.Entry.Server; server != nil && server.Cold > 0 {
		warming := server.WithWarmUpUntil(at.Add(server.Cold))
		c.Entry.Server = &warming
	}
	return c
}

// isRemovalInDoubt reports whether a removal may only be a consequence of a store outage: a live
// server writes its entry again soon after the store has recovered. While this instance can't reach
// the store, it applies removals that other instances report, since those have read them there.
func (s State) isRemovalInDoubt(removed Change, at time.Time, grace time.Duration) bool {
	if removed.Entry.Server == nil || removed.Entry.Server.Draining || s.StoreRecoveredAt.IsZero() {
		return false
	}
	return s.StoreUnreachableSince.IsZero() && at.Sub(s.StoreRecoveredAt) < grace
}

// WithoutExpired returns a state without the removed entries whose grace period has ended, and with the outdated ones whose grace
// period has; none ends while the store is unreachable.
func (s State) WithoutExpired(at time.Time) State {
	if !s.StoreUnreachableSince.IsZero() {
		return s
	}
	updated := s.withOverdueOutdated(at)
	var expired []string
	for key, until := range s.missing {
		if at.After(until) {
			expired = append(expired, key)
		}
	}
	if len(expired) == 0 && updated.OutdatedEntries() == s.OutdatedEntries() {
		return s
	}
	updated.entries, updated.missing = maps.Clone(updated.entries), maps.Clone(s.missing)
	for _, key := range expired {
		updated = updated.withDeparture(key, updated.entries[key].Entry, at)
		delete(updated.entries, key)
		delete(updated.missing, key)
	}
	return updated.indexed().withOrderTimes(s.rollOuts, true, at)
}
