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

// EmbeddedConfig sets up an Embedded store.
type EmbeddedConfig struct {
	Now func() time.Time
	// History is how many events a watch can start back from; older ones are compacted.
	History int
}

// Embedded is a key-value service in memory, for one process and for tests.
type Embedded struct {
	now     func() time.Time
	history int
	// write orders the changes; readers take the latest image without it.
	write   sync.Mutex
	current policy.Cell[image]
}

// NewEmbedded returns an empty store.
func NewEmbedded(c EmbeddedConfig) (*Embedded, error) {
	if c.Now == nil {
		return nil, errors.New("embedded store: no clock")
	}
	if c.History < 1 {
		return nil, fmt.Errorf("embedded store: history of %d events", c.History)
	}
	e := &Embedded{now: c.Now, history: c.History}
	e.current.Update(func(image) image { return image{changed: make(chan struct{})} })
	return e, nil
}

// Get returns the entry, with revision zero where there is none.
func (e *Embedded) Get(ctx context.Context, key string) (Entry, error) {
	if err := ended(ctx); err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	return e.current.Get().entry(key), nil
}

// List returns all entries whose keys have the prefix, in the order of keys.
func (e *Embedded) List(ctx context.Context, prefix string) (Listing, error) {
	if err := ended(ctx); err != nil {
		return Listing{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	im := e.current.Get()
	l := Listing{Revision: im.revision}
	for _, key := range im.entries.Keys() {
		if strings.HasPrefix(key, prefix) {
			l.Entries = append(l.Entries, im.entry(key))
		}
	}
	return l, nil
}

// Swap replaces the entry and returns its new revision.
func (e *Embedded) Swap(ctx context.Context, s Swap) (int64, error) {
	if len(s.Value) > ValueLimit {
		return 0, fmt.Errorf("swap %s: %w", s.Key, TooLarge{Key: s.Key, Bytes: len(s.Value)})
	}
	s.Value = slices.Clone(s.Value)
	var revision int64
	err := e.change(ctx, func(im image) (image, error) {
		next, err := im.swap(s)
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
	err := e.change(ctx, func(im image) (image, error) {
		if had := im.entry(key); had.Revision != expect {
			return im, Conflict{Present: had}
		}
		return im.without(key), nil
	})
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// Grant returns a new lease of the given length.
func (e *Embedded) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if ttl <= 0 {
		return 0, fmt.Errorf("grant lease: length of %s", ttl)
	}
	var id LeaseID
	err := e.change(ctx, func(im image) (image, error) {
		id = im.lastLease + 1
		im.lastLease = id
		return im.withLease(lease{id: id, ttl: ttl, ends: e.now().Add(ttl)}), nil
	})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	time.AfterFunc(ttl, func() { e.expire(id) })
	return id, nil
}

// KeepAlive renews the lease and returns its remaining time.
func (e *Embedded) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var ttl time.Duration
	err := e.change(ctx, func(im image) (image, error) {
		l, ok := im.lease(id)
		if !ok {
			return im, ErrLeaseLost
		}
		ttl = l.ttl
		l.ends = e.now().Add(ttl)
		return im.withLease(l), nil
	})
	if err != nil {
		return 0, fmt.Errorf("keep lease %d alive: %w", id, err)
	}
	return ttl, nil
}

// Revoke ends the lease and deletes its entries.
func (e *Embedded) Revoke(ctx context.Context, id LeaseID) error {
	err := e.change(ctx, func(im image) (image, error) {
		if _, ok := im.lease(id); !ok {
			return im, ErrLeaseLost
		}
		return im.withoutLease(id), nil
	})
	if err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}

// Compact drops the history up to and including the revision.
func (e *Embedded) Compact(revision int64) {
	e.write.Lock()
	defer e.write.Unlock()
	im := e.current.Get()
	e.publish(im, im.compacted(revision))
}

// expire ends the lease unless it was renewed, in which case it waits on.
func (e *Embedded) expire(id LeaseID) {
	e.write.Lock()
	defer e.write.Unlock()
	im := e.current.Get()
	l, ok := im.lease(id)
	if !ok {
		return
	}
	if left := l.ends.Sub(e.now()); left > 0 {
		time.AfterFunc(left, func() { e.expire(id) })
		return
	}
	e.publish(im, im.withoutLease(id))
}

func (e *Embedded) change(ctx context.Context, decide func(image) (image, error)) error {
	e.write.Lock()
	defer e.write.Unlock()
	if err := ended(ctx); err != nil {
		return err
	}
	was := e.current.Get()
	next, err := decide(was)
	if err != nil {
		return err
	}
	e.publish(was, next)
	return nil
}

// publish is called with the write lock held.
func (e *Embedded) publish(was, next image) {
	next = next.trimmed(e.history)
	next.changed = make(chan struct{})
	e.current.Update(func(image) image { return next })
	close(was.changed)
}

// ended returns an error that says that the call was not made.
func ended(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}
