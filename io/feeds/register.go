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
	memberLife  = 30 * time.Second
	memberRenew = 10 * time.Second
	memberRetry = time.Second
)

// Registry keeps the instance's entry in the store.
type Registry struct {
	// Store holds the lease that the entry depends on.
	Store Leaser
	Self  relay.Member
	// Failed is told of calls that failed; they are tried again.
	Failed func(error)
}

// Run keeps the entry until the context ends, and removes it then.
func (r Registry) Run(ctx context.Context) error {
	var lease int64
	for {
		next, err := r.renew(ctx, lease)
		if ctx.Err() != nil {
			break
		}
		lease = next
		pause := memberRenew
		if err != nil {
			r.Failed(err)
			pause = jitter(memberRetry)
		}
		if !clock.Passed(ctx, pause) {
			break
		}
	}
	return r.leave(context.WithoutCancel(ctx), lease)
}

// renew returns the lease under which the entry stands, or zero.
func (r Registry) renew(ctx context.Context, lease int64) (int64, error) {
	if lease != 0 {
		err := r.Store.Keep(ctx, lease)
		if errors.Is(err, ErrLapsed) {
			return 0, fmt.Errorf("renew registration: %w", err)
		}
		return lease, err
	}
	lease, err := r.Store.Lease(ctx, memberLife)
	if err != nil {
		return 0, fmt.Errorf("take registration's lease: %w", err)
	}
	if err := r.Store.Register(ctx, r.Self, lease); err != nil {
		return 0, fmt.Errorf("register: %w", err)
	}
	return lease, nil
}

func (r Registry) leave(ctx context.Context, lease int64) error {
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, memberRetry)
	defer cancel()
	if err := r.Store.Release(ctx, lease); err != nil {
		r.Failed(fmt.Errorf("end registration: %w", err))
	}
	return nil
}
