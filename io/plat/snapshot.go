package plat

import (
	"slices"
	"strconv"
	"time"

	"endivehitch/core/policy"
)

// snapshot is the complete content of an Embedded store at one revision; it is immutable.
type snapshot struct {
	revision  int64
	lastLease LeaseID
	entries   policy.Table[string, Entry]
	leases    policy.Table[string, lease]
	// events is the history, oldest first. Snapshots share its array: a newer one appends behind
	// the length of the older ones, which is safe because writers run one at a time.
	events []Event
	// compacted is the last revision that was removed from the events.
	compacted int64
	// superseded is closed once there is a newer snapshot.
	superseded chan struct{}
}

type lease struct {
	id      LeaseID
	ttl     time.Duration
	expires time.Time
	keys    []string
}

func leaseKey(id LeaseID) string {
	return strconv.FormatInt(int64(id), 10)
}

func (s snapshot) entry(key string) Entry {
	if e, ok := s.entries.Get(key); ok {
		return e
	}
	return Entry{Key: key}
}

func (s snapshot) lease(id LeaseID) (lease, bool) {
	return s.leases.Get(leaseKey(id))
}

func (s snapshot) withSwap(request Swap) (snapshot, error) {
	previous := s.entry(request.Key)
	if previous.Revision != request.Expect {
		return s, Conflict{Current: previous}
	}
	if _, ok := s.lease(request.Lease); request.Lease != 0 && !ok {
		return s, ErrLeaseLost
	}
	s.revision++
	entry := Entry{Key: request.Key, Value: request.Value, Revision: s.revision, Lease: request.Lease}
	s = s.withoutLeasedKey(previous).withLeasedKey(entry)
	s.entries = s.entries.With(entry.Key, entry)
	s.events = append(s.events, Event{Entry: entry})
	return s, nil
}

func (s snapshot) withoutKey(key string) snapshot {
	previous, ok := s.entries.Get(key)
	if !ok {
		return s
	}
	s.revision++
	s = s.withoutLeasedKey(previous)
	s.entries = s.entries.Without(key)
	s.events = append(s.events, Event{Entry: Entry{Key: key, Revision: s.revision}, Deleted: true})
	return s
}

// withLeasedKey adds the entry's key to the keys of its lease, if it has one.
func (s snapshot) withLeasedKey(e Entry) snapshot {
	leased, ok := s.lease(e.Lease)
	if !ok {
		return s
	}
	leased.keys = append(slices.Clone(leased.keys), e.Key)
	return s.withLease(leased)
}

// withoutLeasedKey removes the entry's key from the keys of its lease, if it has one.
func (s snapshot) withoutLeasedKey(e Entry) snapshot {
	leased, ok := s.lease(e.Lease)
	if !ok {
		return s
	}
	leased.keys = slices.DeleteFunc(slices.Clone(leased.keys), func(k string) bool { return k == e.Key })
	return s.withLease(leased)
}

func (s snapshot) withLease(l lease) snapshot {
	s.leases = s.leases.With(leaseKey(l.id), l)
	return s
}

// withoutLease removes the lease and its entries. Each deletion has a revision of its own, so that
// a watch can resume between any two.
func (s snapshot) withoutLease(id LeaseID) snapshot {
	ended, _ := s.lease(id)
	for _, key := range ended.keys {
		s = s.withoutKey(key)
	}
	s.leases = s.leases.Without(leaseKey(id))
	return s
}

// withoutHistory removes the events up to and including the revision.
func (s snapshot) withoutHistory(revision int64) snapshot {
	if revision <= s.compacted {
		return s
	}
	s.compacted = min(revision, s.revision)
	s.events = slices.Clone(s.eventsFrom(s.compacted + 1))
	return s
}

// withTrimmedHistory removes the oldest events once there are twice the given number, and leaves
// that number, so that the events are rarely copied.
func (s snapshot) withTrimmedHistory(history int) snapshot {
	if len(s.events) < 2*history {
		return s
	}
	return s.withoutHistory(s.events[len(s.events)-history-1].Entry.Revision)
}

// eventsFrom returns the events of the revision and later ones.
func (s snapshot) eventsFrom(revision int64) []Event {
	i, _ := slices.BinarySearchFunc(s.events, revision, func(e Event, r int64) int {
		return int(e.Entry.Revision - r)
	})
	return s.events[i:]
}
