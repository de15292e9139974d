package feeds

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/relay"
	"endivehitch/io/clock"
)

const (
	// memberLeaseTTL is how long the entry of an instance that crashed remains; it spans several renewals.
	memberLeaseTTL      = 30 * time.Second
	memberRenewInterval = 10 * time.Second
	memberRetryPause    = time.Second
)

// Registry keeps the instance's entry in the store while the instance runs.
type Registry struct {
	// Store holds the entry and its lease.
	Store Leaser
	Self  relay.Member
	// OnError is called with the error of each failed call; all calls but the final release are retried.
	OnError func(error)
}

// Run keeps the entry registered until the context ends, and removes it then.
func (r Registry) Run(ctx context.Context) error {
	var lease int64
	for {
		next, err := r.renew(ctx, lease)
		if ctx.Err() != nil {
			break
		}
		lease = next
		pause := memberRenewInterval
		if err != nil {
			r.OnError(err)
			pause = jitter(memberRetryPause)
		}
		if !clock.WaitFully(ctx, pause) {
			break
		}
	}
	return r.deregister(context.WithoutCancel(ctx), lease)
}

// renew renews the lease, or acquires one and registers the entry when lease is zero. It returns the lease
// that holds the entry, or zero.
func (r Registry) renew(ctx context.Context, lease int64) (int64, error) {
	if lease != 0 {
		err := r.Store.Renew(ctx, lease)
		if errors.Is(err, ErrLeaseExpired) {
			return 0, fmt.Errorf("renew registration lease: %w", err)
		}
		return lease, err
	}
	lease, err := r.Store.Acquire(ctx, memberLeaseTTL)
	if err != nil {
		return 0, fmt.Errorf("acquire registration lease: %w", err)
	}
	if err := r.Store.Register(ctx, r.Self, lease); err != nil {
		return 0, fmt.Errorf("write registration entry: %w", err)
	}
	return lease, nil
}

// deregister releases the lease, which also removes the entry.
func (r Registry) deregister(ctx context.Context, lease int64) error {
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, memberRetryPause)
	defer cancel()
	if err := r.Store.Release(ctx, lease); err != nil {
		r.OnError(fmt.Errorf("release registration lease: %w", err))
	}
	return nil
}
