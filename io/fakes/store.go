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

// Store wraps a key-value store and injects the faults that SetFaults sets.
type Store struct {
	backing plat.Store
	state   policy.Cell[faultState]
	reads   atomic.Int64
	writes  atomic.Int64
	leases  sync.Map
	// inFlight counts the changes that have not taken effect yet.
	inFlight sync.WaitGroup
}

// faultState is the faults in force, the entries that stale reads return, and a channel that is
// closed when the faults change.
type faultState struct {
	faults       StoreFaults
	staleListing plat.Listing
	changed      chan struct{}
}

// NewStore returns a store without faults over the given one.
func NewStore(backing plat.Store) *Store {
	s := &Store{backing: backing}
	s.state.Update(func(faultState) faultState { return faultState{changed: make(chan struct{})} })
	return s
}

// SetFaults replaces the faults in force, and takes the copy of the store that stale reads return.
func (s *Store) SetFaults(f StoreFaults) error {
	listing, err := s.backing.List(context.Background(), "")
	if err != nil {
		return fmt.Errorf("list entries for stale reads: %w", err)
	}
	previous := s.state.Get()
	s.state.Update(func(faultState) faultState {
		return faultState{faults: f, staleListing: listing, changed: make(chan struct{})}
	})
	close(previous.changed)
	return nil
}

// ExpireLeases makes every lease expire at once.
func (s *Store) ExpireLeases(ctx context.Context) error {
	var failed error
	s.leases.Range(func(id, _ any) bool {
		s.leases.Delete(id)
		err := s.backing.Revoke(ctx, id.(plat.LeaseID))
		if err != nil && !errors.Is(err, plat.ErrLeaseLost) {
			failed = err
		}
		return failed == nil
	})
	return failed
}

// Drain waits until no change is in flight.
func (s *Store) Drain() {
	s.inFlight.Wait()
}

// Reads returns how many reads and watches the store has received.
func (s *Store) Reads() int64 {
	return s.reads.Load()
}

// Writes returns how many changes the store has received, successful or not.
func (s *Store) Writes() int64 {
	return s.writes.Load()
}

// Get returns the entry of the key, with revision zero if there is none.
func (s *Store) Get(ctx context.Context, key string) (plat.Entry, error) {
	now, err := s.beginRead(ctx)
	if err != nil {
		return plat.Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	if !now.faults.Stale {
		return s.backing.Get(ctx, key)
	}
	for _, e := range now.staleListing.Entries {
		if e.Key == key {
			return e, nil
		}
	}
	return plat.Entry{Key: key}, nil
}

// List returns all entries whose keys have the prefix, sorted by key.
func (s *Store) List(ctx context.Context, prefix string) (plat.Listing, error) {
	now, err := s.beginRead(ctx)
	if err != nil {
		return plat.Listing{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	if !now.faults.Stale {
		return s.backing.List(ctx, prefix)
	}
	l := plat.Listing{Revision: now.staleListing.Revision}
	for _, e := range now.staleListing.Entries {
		if strings.HasPrefix(e.Key, prefix) {
			l.Entries = append(l.Entries, e)
		}
	}
	return l, nil
}

// Watch sends the changes under the prefix until the context ends or the store is down.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan plat.Event, error) {
	if _, err := s.beginRead(ctx); err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	in, err := s.backing.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan plat.Event)
	go s.forwardEvents(ctx, cancel, in, out)
	return out, nil
}

func (s *Store) forwardEvents(ctx context.Context, cancel func(), in <-chan plat.Event, out chan<- plat.Event) {
	defer close(out)
	defer cancel()
	for {
		now := s.state.Get()
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

// Swap replaces the entry if its revision is the expected one, and returns the new revision.
func (s *Store) Swap(ctx context.Context, c plat.Swap) (int64, error) {
	return write(ctx, s, "swap "+c.Key, func(ctx context.Context) (int64, error) { return s.backing.Swap(ctx, c) })
}

// Delete removes the entry if its revision is the expected one.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	_, err := write(ctx, s, "delete "+key, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.backing.Delete(ctx, key, expect)
	})
	return err
}

// Grant returns a new lease of the given duration.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (plat.LeaseID, error) {
	return write(ctx, s, "grant lease", func(ctx context.Context) (plat.LeaseID, error) {
		id, err := s.backing.Grant(ctx, ttl)
		s.leases.Store(id, nil)
		return id, err
	})
}

// KeepAlive renews the lease and returns its remaining time.
func (s *Store) KeepAlive(ctx context.Context, id plat.LeaseID) (time.Duration, error) {
	return write(ctx, s, "keep lease alive", func(ctx context.Context) (time.Duration, error) {
		return s.backing.KeepAlive(ctx, id)
	})
}

// Revoke ends the lease and deletes its entries.
func (s *Store) Revoke(ctx context.Context, id plat.LeaseID) error {
	_, err := write(ctx, s, "revoke lease", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.backing.Revoke(ctx, id)
	})
	return err
}

func (s *Store) beginRead(ctx context.Context) (faultState, error) {
	s.reads.Add(1)
	now := s.state.Get()
	if now.faults.Down || now.faults.Refuse {
		return now, plat.ErrUnavailable
	}
	if err := clock.Wait(ctx, now.faults.Delay); err != nil {
		return now, fmt.Errorf("%w: %w", plat.ErrUnavailable, err)
	}
	return now, nil
}

type result[T any] struct {
	value T
	err   error
}

// write makes the change even if its caller gives up before the delay is over, as a slow service
// does.
func write[T any](ctx context.Context, s *Store, what string, do func(context.Context) (T, error)) (T, error) {
	var none T
	s.writes.Add(1)
	now := s.state.Get()
	if now.faults.Down || now.faults.Refuse || ctx.Err() != nil {
		return none, fmt.Errorf("%s: %w", what, plat.ErrUnavailable)
	}
	done := make(chan result[T], 1)
	s.inFlight.Go(func() {
		detached := context.WithoutCancel(ctx)
		_ = clock.Wait(detached, now.faults.Delay)
		v, err := do(detached)
		done <- result[T]{value: v, err: err}
	})
	select {
	case r := <-done:
		if r.err == nil && s.takeLostAnswer() {
			return none, fmt.Errorf("%s: %w", what, plat.ErrUnknown)
		}
		return r.value, r.err
	case <-ctx.Done():
		return none, fmt.Errorf("%s: %w: %w", what, plat.ErrUnknown, ctx.Err())
	}
}

// takeLostAnswer reports whether the answer must be lost, and if so decrements LostAnswers.
func (s *Store) takeLostAnswer() bool {
	return s.state.TryUpdate(func(now faultState) (faultState, bool) {
		if now.faults.LostAnswers == 0 {
			return now, false
		}
		now.faults.LostAnswers--
		return now, true
	})
}
