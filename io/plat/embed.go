package plat

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"endivehitch/core/policy"
)

// EmbeddedConfig configures an Embedded store.
type EmbeddedConfig struct {
	Now func() time.Time
	// History is the least number of events that stay available to new watches; older ones may be
	// compacted.
	History int
}

// Embedded is a key-value service in memory, for one process and for tests.
type Embedded struct {
	now     func() time.Time
	history int
	// writeMutex serializes changes; readers take the latest snapshot without it.
	writeMutex sync.Mutex
	latest     policy.Cell[snapshot]
}

// NewEmbedded returns an empty store.
func NewEmbedded(c EmbeddedConfig) (*Embedded, error) {
	if c.Now == nil {
		return nil, errors.New("embedded store: the clock Now is missing")
	}
	if c.History < 1 {
		return nil, fmt.Errorf("embedded store: History must be at least 1, got %d", c.History)
	}
	e := &Embedded{now: c.Now, history: c.History}
	e.latest.Update(func(snapshot) snapshot { return snapshot{superseded: make(chan struct{})} })
	return e, nil
}

// Get returns the entry, with revision zero if there is none.
func (e *Embedded) Get(ctx context.Context, key string) (Entry, error) {
	if err := contextError(ctx); err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	return e.latest.Get().entry(key), nil
}

// List returns all entries whose keys have the prefix, in the order of keys.
func (e *Embedded) List(ctx context.Context, prefix string) (Listing, error) {
	if err := contextError(ctx); err != nil {
		return Listing{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	current := e.latest.Get()
	listing := Listing{Revision: current.revision}
	for _, key := range current.entries.Keys() {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, current.entry(key))
		}
	}
	return listing, nil
}

// Swap replaces the entry if its revision is the expected one, and returns its new revision. It
// stores a copy of the value.
func (e *Embedded) Swap(ctx context.Context, s Swap) (int64, error) {
	if len(s.Value) > ValueLimit {
		return 0, fmt.Errorf("swap %s: %w", s.Key, TooLarge{Key: s.Key, Bytes: len(s.Value)})
	}
	s.Value = slices.Clone(s.Value)
	var revision int64
	err := e.update(ctx, func(current snapshot) (snapshot, error) {
		next, err := current.withSwap(s)
		revision = next.revision
		return next, err
	})
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", s.Key, err)
	}
	return revision, nil
}

// Delete removes the entry if its revision is the expected one.
func (e *Embedded) Delete(ctx context.Context, key string, expect int64) error {
	err := e.update(ctx, func(current snapshot) (snapshot, error) {
		if entry := current.entry(key); entry.Revision != expect {
			return current, Conflict{Current: entry}
		}
		return current.withoutKey(key), nil
	})
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// Grant returns a new lease of the given length.
func (e *Embedded) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if ttl <= 0 {
		return 0, fmt.Errorf("grant lease: length must be positive, got %s", ttl)
	}
	var id LeaseID
	err := e.update(ctx, func(current snapshot) (snapshot, error) {
		id = current.lastLease + 1
		current.lastLease = id
		return current.withLease(lease{id: id, ttl: ttl, expires: e.now().Add(ttl)}), nil
	})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	time.AfterFunc(ttl, func() { e.expire(id) })
	return id, nil
}

// KeepAlive renews the lease for its original length, and returns that length.
func (e *Embedded) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var ttl time.Duration
	err := e.update(ctx, func(current snapshot) (snapshot, error) {
		l, ok := current.lease(id)
		if !ok {
			return current, ErrLeaseLost
		}
		ttl = l.ttl
		l.expires = e.now().Add(ttl)
		return current.withLease(l), nil
	})
	if err != nil {
		return 0, fmt.Errorf("keep lease %d alive: %w", id, err)
	}
	return ttl, nil
}

// Revoke ends the lease and deletes its entries.
func (e *Embedded) Revoke(ctx context.Context, id LeaseID) error {
	err := e.update(ctx, func(current snapshot) (snapshot, error) {
		if _, ok := current.lease(id); !ok {
			return current, ErrLeaseLost
		}
		return current.withoutLease(id), nil
	})
	if err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}

// Compact removes the history up to and including the revision.
func (e *Embedded) Compact(revision int64) {
	e.writeMutex.Lock()
	defer e.writeMutex.Unlock()
	current := e.latest.Get()
	e.publish(current, current.withoutHistory(revision))
}

// expire runs when a lease was due to end: it ends the lease, or runs again at the new end if the
// lease was renewed.
func (e *Embedded) expire(id LeaseID) {
	e.writeMutex.Lock()
	defer e.writeMutex.Unlock()
	current := e.latest.Get()
	l, ok := current.lease(id)
	if !ok {
		return
	}
	if remaining := l.expires.Sub(e.now()); remaining > 0 {
		time.AfterFunc(remaining, func() { e.expire(id) })
		return
	}
	e.publish(current, current.withoutLease(id))
}

// update publishes the snapshot that apply returns, unless that fails or the context has ended.
func (e *Embedded) update(ctx context.Context, apply func(snapshot) (snapshot, error)) error {
	e.writeMutex.Lock()
	defer e.writeMutex.Unlock()
	if err := contextError(ctx); err != nil {
		return err
	}
	previous := e.latest.Get()
	next, err := apply(previous)
	if err != nil {
		return err
	}
	e.publish(previous, next)
	return nil
}

// publish makes next the latest snapshot and wakes the watches. The caller holds writeMutex.
func (e *Embedded) publish(previous, next snapshot) {
	next = next.withTrimmedHistory(e.history)
	next.superseded = make(chan struct{})
	e.latest.Update(func(snapshot) snapshot { return next })
	close(previous.superseded)
}

// contextError returns an error that wraps ErrUnavailable if the context has ended: the call was
// not made.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}
