package plat

import (
	"slices"
	"strconv"
	"time"

	"endivehitch/core/policy"
)

// image is the whole content of an embedded store at one revision; it is immutable.
type image struct {
	revision  int64
	lastLease LeaseID
	entries   policy.Table[string, Entry]
	leases    policy.Table[string, lease]
	// events is appended to in place behind the length of older images, which writers do in turn.
	events []Event
	// floor is the last revision that is no longer among the events.
	floor int64
	// changed is closed once there is a newer image.
	changed chan struct{}
}

type lease struct {
	id   LeaseID
	ttl  time.Duration
	ends time.Time
	keys []string
}

func leaseKey(id LeaseID) string {
	return strconv.FormatInt(int64(id), 10)
}

func (im image) entry(key string) Entry {
	if e, ok := im.entries.Get(key); ok {
		return e
	}
	return Entry{Key: key}
}

func (im image) lease(id LeaseID) (lease, bool) {
	return im.leases.Get(leaseKey(id))
}

func (im image) swap(s Swap) (image, error) {
	had := im.entry(s.Key)
	if had.Revision != s.Expect {
		return im, Conflict{Present: had}
	}
	if _, ok := im.lease(s.Lease); s.Lease != 0 && !ok {
		return im, ErrLeaseLost
	}
	im.revision++
	e := Entry{Key: s.Key, Value: s.Value, Revision: im.revision, Lease: s.Lease}
	im = im.detached(had).attached(e)
	im.entries = im.entries.With(e.Key, e)
	im.events = append(im.events, Event{Entry: e})
	return im, nil
}

func (im image) without(key string) image {
	had, ok := im.entries.Get(key)
	if !ok {
		return im
	}
	im.revision++
	im = im.detached(had)
	im.entries = im.entries.Without(key)
	im.events = append(im.events, Event{Entry: Entry{Key: key, Revision: im.revision}, Deleted: true})
	return im
}

// attached lists the entry's key with its lease.
func (im image) attached(e Entry) image {
	l, ok := im.lease(e.Lease)
	if !ok {
		return im
	}
	l.keys = append(slices.Clone(l.keys), e.Key)
	return im.withLease(l)
}

// detached takes the entry's key off its lease.
func (im image) detached(e Entry) image {
	l, ok := im.lease(e.Lease)
	if !ok {
		return im
	}
	l.keys = slices.DeleteFunc(slices.Clone(l.keys), func(k string) bool { return k == e.Key })
	return im.withLease(l)
}

func (im image) withLease(l lease) image {
	im.leases = im.leases.With(leaseKey(l.id), l)
	return im
}

// withoutLease gives each deletion a revision of its own, so that a watch can resume between any two.
func (im image) withoutLease(id LeaseID) image {
	l, _ := im.lease(id)
	for _, key := range l.keys {
		im = im.without(key)
	}
	im.leases = im.leases.Without(leaseKey(id))
	return im
}

func (im image) compacted(revision int64) image {
	if revision <= im.floor {
		return im
	}
	im.floor = min(revision, im.revision)
	im.events = slices.Clone(im.since(im.floor + 1))
	return im
}

// trimmed keeps between the given number of events and twice as many, so that copies are rare.
func (im image) trimmed(history int) image {
	if len(im.events) < 2*history {
		return im
	}
	return im.compacted(im.events[len(im.events)-history-1].Entry.Revision)
}

// since returns the events from the revision on.
func (im image) since(revision int64) []Event {
	i, _ := slices.BinarySearchFunc(im.events, revision, func(e Event, r int64) int {
		return int(e.Entry.Revision - r)
	})
	return im.events[i:]
}
