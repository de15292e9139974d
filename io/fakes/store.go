package fakes

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"endivehitch/core/policy"
	"endivehitch/io/clock"
	"endivehitch/io/plat"
)

// Store is a key-value service with switchable faults over another store.
type Store struct {
	inner  plat.Store
	faults policy.Cell[situation]
	reads  atomic.Int64
	writes atomic.Int64
	leases sync.Map
	// underWay counts the changes that have not taken effect.
	underWay sync.WaitGroup
}

// situation is the faults in force, what stale reads see, and a channel that a change closes.
type situation struct {
	faults  Faults
	old     plat.Listing
	changed chan struct{}
}

// NewStore returns a healthy stand-in over the store.
func NewStore(inner plat.Store) *Store {
	s := &Store{inner: inner}
	s.faults.Update(func(situation) situation { return situation{changed: make(chan struct{})} })
	return s
}

// Set puts the faults in force.
func (s *Store) Set(f Faults) error {
	old, err := s.inner.List(context.Background(), "")
	if err != nil {
		return fmt.Errorf("read the present state: %w", err)
	}
	was := s.faults.Get()
	s.faults.Update(func(situation) situation {
		return situation{faults: f, old: old, changed: make(chan struct{})}
	})
	close(was.changed)
	return nil
}

// LapseLeases ends every lease at once.
func (s *Store) LapseLeases(ctx context.Context) error {
	var failed error
	s.leases.Range(func(id, _ any) bool {
		s.leases.Delete(id)
		err := s.inner.Revoke(ctx, id.(plat.LeaseID))
		if err != nil && !errors.Is(err, plat.ErrLeaseLost) {
			failed = err
		}
		return failed == nil
	})
	return failed
}

// Drain waits until no change is under way.
func (s *Store) Drain() {
	s.underWay.Wait()
}

// Reads returns how many reads and watches have reached the service.
func (s *Store) Reads() int64 {
	return s.reads.Load()
}

// Writes returns how many changes have reached the service, granted or not.
func (s *Store) Writes() int64 {
	return s.writes.Load()
}

// Get returns the entry, with revision zero where there is none.
func (s *Store) Get(ctx context.Context, key string) (plat.Entry, error) {
	now, err := s.read(ctx)
	if err != nil {
		return plat.Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	if !now.faults.Stale {
		return s.inner.Get(ctx, key)
	}
	for _, e := range now.old.Entries {
		if e.Key == key {
			return e, nil
		}
	}
	return plat.Entry{Key: key}, nil
}

// List returns all entries whose keys have the prefix, in the order of keys.
func (s *Store) List(ctx context.Context, prefix string) (plat.Listing, error) {
	now, err := s.read(ctx)
	if err != nil {
		return plat.Listing{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	if !now.faults.Stale {
		return s.inner.List(ctx, prefix)
	}
	l := plat.Listing{Revision: now.old.Revision}
	for _, e := range now.old.Entries {
		if strings.HasPrefix(e.Key, prefix) {
			l.Entries = append(l.Entries, e)
		}
	}
	return l, nil
}

// Watch sends the changes under the prefix until the context ends or the service goes down.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan plat.Event, error) {
	if _, err := s.read(ctx); err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	in, err := s.inner.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan plat.Event)
	go s.relay(ctx, cancel, in, out)
	return out, nil
}

func (s *Store) relay(ctx context.Context, cancel func(), in <-chan plat.Event, out chan<- plat.Event) {
	defer close(out)
	defer cancel()
	for {
		now := s.faults.Get()
		if now.faults.Down {
			return
		}
		select {
		case <-now.changed:
		case e, ok := <-in:
			if !ok {
				return
			}
			select {
			case out <- e:
			case <-ctx.Done():
				return
			}
		}
	}
}

// Swap replaces the entry and returns its new revision.
func (s *Store) Swap(ctx context.Context, c plat.Swap) (int64, error) {
	return write(ctx, s, "swap "+c.Key, func(ctx context.Context) (int64, error) { return s.inner.Swap(ctx, c) })
}

// Delete removes the entry if its revision is the expected one.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	_, err := write(ctx, s, "delete "+key, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.inner.Delete(ctx, key, expect)
	})
	return err
}

// Grant returns a new lease of the given length.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (plat.LeaseID, error) {
	return write(ctx, s, "grant lease", func(ctx context.Context) (plat.LeaseID, error) {
		id, err := s.inner.Grant(ctx, ttl)
		s.leases.Store(id, nil)
		return id, err
	})
}

// KeepAlive renews the lease and returns its remaining time.
func (s *Store) KeepAlive(ctx context.Context, id plat.LeaseID) (time.Duration, error) {
	return write(ctx, s, "keep lease alive", func(ctx context.Context) (time.Duration, error) {
		return s.inner.KeepAlive(ctx, id)
	})
}

// Revoke ends the lease and deletes its entries.
func (s *Store) Revoke(ctx context.Context, id plat.LeaseID) error {
	_, err := write(ctx, s, "revoke lease", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.inner.Revoke(ctx, id)
	})
	return err
}

func (s *Store) read(ctx context.Context) (situation, error) {
	s.reads.Add(1)
	now := s.faults.Get()
	if now.faults.Down || now.faults.Refuse {
		return now, plat.ErrUnavailable
	}
	if err := clock.Wait(ctx, now.faults.Delay); err != nil {
		return now, fmt.Errorf("%w: %w", plat.ErrUnavailable, err)
	}
	return now, nil
}

type outcome[T any] struct {
	value T
	err   error
}

// write carries the change out even when its caller gives up, as a slow service does.
func write[T any](ctx context.Context, s *Store, what string, do func(context.Context) (T, error)) (T, error) {
	var none T
	s.writes.Add(1)
	now := s.faults.Get()
	if now.faults.Down || now.faults.Refuse || ctx.Err() != nil {
		return none, fmt.Errorf("%s: %w", what, plat.ErrUnavailable)
	}
	done := make(chan outcome[T], 1)
	s.underWay.Go(func() {
		detached := context.WithoutCancel(ctx)
		_ = clock.Wait(detached, now.faults.Delay)
		v, err := do(detached)
		done <- outcome[T]{value: v, err: err}
	})
	select {
	case o := <-done:
		if o.err == nil && s.loseAnswer() {
			return none, fmt.Errorf("%s: %w", what, plat.ErrUnknown)
		}
		return o.value, o.err
	case <-ctx.Done():
		return none, fmt.Errorf("%s: %w: %w", what, plat.ErrUnknown, ctx.Err())
	}
}

func (s *Store) loseAnswer() bool {
	return s.faults.TryUpdate(func(now situation) (situation, bool) {
		if now.faults.LostAnswers == 0 {
			return now, false
		}
		now.faults.LostAnswers--
		return now, true
	})
}
