package feeds

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/start"
	"endivehitch/io/clock"
)

const (
	// memberLeaseTTL is how long the entry of an instance that crashed remains; it spans several renewals.
	memberLeaseTTL      = 30 * time.Second
	memberRenewInterval = 10 * time.Second
	// releaseTimeout bounds the call that ends the lease of an instance that leaves.
	releaseTimeout = time.Second
	// lostEntryPause is the time until an entry that the store has lost is written again. It differs between instances, as
	// the store may have lost those of all.
	lostEntryPause = 500 * time.Millisecond
)

// Registry keeps the instance's entry in the store while the instance runs.
type Registry struct {
	// Store holds the entry and its lease.
	Store Leaser
	// Control shows whether the store still has the entry.
	Control Control
	Self    relay.Member
	// Seeds returns the addresses of other instances from the settings, which may start at the same moment;
	// without it, none are known but those of the state.
	Seeds func() []string
	// OnError is called with the error of each failed call; all calls but the final release are retried.
	OnError func(error)
}

// registration is what the registry knows of its entry in the store.
type registration struct {
	// lease is the lease under which the entry is written; zero means that there is none.
	lease int64
	// revision is that of the entry; zero means that the store has not confirmed it.
	revision int64
}

// Run keeps the entry registered until the context ends, and removes it then.
func (r Registry) Run(ctx context.Context) error {
	var current registration
	clock.WaitFully(ctx, r.schedule().FirstWrite(rand.Float64()))
	for failed := 0; ctx.Err() == nil; {
		var err error
		current, err = r.renew(ctx, current)
		if ctx.Err() != nil {
			break
		}
		pause := memberRenewInterval
		if err != nil {
			r.OnError(err)
			failed++
			pause = r.schedule().NextWrite(failed, rand.Float64())
		} else {
			failed = 0
		}
		if r.awaitLoss(ctx, current, pause) {
			// The lease has expired, as the entry ends with it.
			current = registration{}
			clock.WaitFully(ctx, r.schedule().Rewrite(lostEntryPause, rand.Float64()))
		}
	}
	return r.deregister(context.WithoutCancel(ctx), current.lease)
}

func (r Registry) schedule() start.Schedule {
	var seeds []string
	if r.Seeds != nil {
		seeds = r.Seeds()
	}
	return start.Schedule{Fleet: fleetSize(r.Control.Snapshot(), seeds)}
}

// awaitLoss waits for the time, and reports sooner if the entry is removed from the store: others share the fleet's limits
// without this instance then, and tell it nothing. The entry may be gone before this instance has seen it in the store.
func (r Registry) awaitLoss(ctx context.Context, current registration, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		state, changed := r.Control.Watch()
		if current.revision > 0 && state.Revision >= current.revision && !state.HasMember(r.Self.Name) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		case <-changed:
		}
	}
}

// renew renews the lease of a confirmed entry, or acquires a lease and writes the entry. It returns what holds
// afterwards, also with an error: a lease whose entry may have been written is kept, so that the entry can be
// written again and removed at the end.
func (r Registry) renew(ctx context.Context, current registration) (registration, error) {
	if current.revision > 0 {
		err := r.Store.Renew(ctx, current.lease)
		if errors.Is(err, ErrLeaseExpired) {
			return registration{}, fmt.Errorf("renew registration lease: %w", err)
		}
		return current, err
	}
	if current.lease == 0 {
		lease, err := r.Store.Acquire(ctx, memberLeaseTTL)
		if err != nil {
			return registration{}, fmt.Errorf("acquire registration lease: %w", err)
		}
		current.lease = lease
	}
	revision, err := r.Store.Register(ctx, r.Self, current.lease)
	if errors.Is(err, ErrLeaseExpired) {
		return registration{}, fmt.Errorf("write registration entry: %w", err)
	}
	if err != nil {
		return current, fmt.Errorf("write registration entry: %w", err)
	}
	return registration{lease: current.lease, revision: revision}, nil
}

// deregister releases the lease, which also removes the entry.
func (r Registry) deregister(ctx context.Context, lease int64) error {
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := r.Store.Release(ctx, lease); err != nil {
		r.OnError(fmt.Errorf("release registration lease: %w", err))
	}
	return nil
}
