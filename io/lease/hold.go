package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/plat"
)

// The reasons that are recorded when an instance takes or leaves a duty.
const (
	// ReasonVacant means that the duty had no holder, so that this instance took it.
	ReasonVacant value.Reason = "DutyVacant"
	// ReasonEnded means that the lease was lost or could not be renewed in time.
	ReasonEnded value.Reason = "TermEnded"
	// ReasonDone means that the duty's Run function returned, by itself or because the context of
	// the Runner ended.
	ReasonDone value.Reason = "DutyDone"
	// ReasonLeaving means that this instance is shutting down.
	ReasonLeaving value.Reason = "InstanceLeaving"
)

// acquiredLease is a lease that this instance holds and that the duty's key is bound to.
type acquiredLease struct {
	id plat.LeaseID
	// held has the fencing token and the time for which the lease is valid; renewals update it.
	held *policy.Cell[fleet.HeldLease]
}

// acquire obtains a lease and binds the duty's key to it by compare-and-swap; the key's revision is
// the fencing token. If the duty has a holder, the error is a plat.Conflict with the current entry.
// The time-out is the length of the holder's term, which counts from the request: an answer that
// came later would be of no use.
func (r *Runner) acquire(ctx context.Context, duty string) (acquiredLease, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Rule.Length-r.Rule.Margin)
	defer cancel()
	requested := time.Now()
	id, err := r.Store.Grant(ctx, r.Rule.Length)
	if err != nil {
		return acquiredLease{}, fmt.Errorf("obtain lease for duty %s: %w", duty, err)
	}
	key := r.Prefix + duty
	snapshot, _ := r.Observer.Watch()
	token, err := r.Store.Swap(ctx, plat.Swap{Key: key, Value: []byte(snapshot.Self.ID), Lease: id})
	if errors.Is(err, plat.ErrUnknown) {
		token, err = r.readBack(ctx, key, id)
	}
	if err != nil {
		r.revoke(ctx, id)
		return acquiredLease{}, fmt.Errorf("acquire duty %s: %w", duty, err)
	}
	return acquiredLease{id: id, held: policy.NewCell(fleet.NewHeldLease(r.Rule, token, requested))}, nil
}

// readBack finds out whether a swap whose answer was lost took effect. It returns the key's
// revision if it did, and otherwise a plat.Conflict with the current entry.
func (r *Runner) readBack(ctx context.Context, key string, id plat.LeaseID) (int64, error) {
	e, err := r.Store.Get(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("read back %s: %w", key, err)
	}
	if e.Revision == 0 || e.Lease != id {
		return 0, plat.Conflict{Current: e}
	}
	return e.Revision, nil
}

// serveTerm runs the duty until it returns, the term ends or the instance leaves, and then releases
// the lease.
func (r *Runner) serveTerm(ctx context.Context, duty Duty, acquired acquiredLease) error {
	r.recordEvent("DutyTaken", duty.Name, ReasonVacant)
	dutyCtx, stop := context.WithCancel(ctx)
	defer stop()
	var helpers sync.WaitGroup
	endReason := policy.NewCell(ReasonDone)
	end := func(reason value.Reason) {
		endReason.TryUpdate(func(current value.Reason) (value.Reason, bool) { return reason, current == ReasonDone })
		stop()
	}
	helpers.Go(func() { r.renewUntilEnd(dutyCtx, acquired, end) })
	helpers.Go(func() { r.awaitLeaving(dutyCtx, end) })
	err := duty.Run(dutyCtx, Term{rule: r.Rule, held: acquired.held})
	stop()
	helpers.Wait()
	// Code that still has the term must not act on it any longer, because the next holder may
	// start.
	acquired.held.Update(fleet.HeldLease.WithEnd)
	r.recordEvent("DutyLeft", duty.Name, endReason.Get())
	r.revoke(context.WithoutCancel(ctx), acquired.id)
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run duty %s: %w", duty.Name, err)
	}
	return nil
}

// renewUntilEnd renews the lease until the context ends, and ends the duty before the lease can
// expire in the key-value service.
func (r *Runner) renewUntilEnd(ctx context.Context, acquired acquiredLease, end func(value.Reason)) {
	for {
		remaining := acquired.held.Get().Remaining(time.Now())
		if remaining <= 0 {
			end(ReasonEnded)
			return
		}
		clock.WaitFully(ctx, min(r.Rule.Renew, remaining))
		if ctx.Err() != nil {
			return
		}
		if err := r.renewOnce(ctx, acquired); errors.Is(err, plat.ErrLeaseLost) {
			end(ReasonEnded)
			return
		}
	}
}

// renewOnce renews the lease. The call must end within the renewal interval, so that a failed one
// can be retried, and within the term.
func (r *Runner) renewOnce(ctx context.Context, acquired acquiredLease) error {
	remaining := acquired.held.Get().Remaining(time.Now())
	ctx, cancel := context.WithTimeout(ctx, min(r.Rule.Renew, max(remaining, 0)))
	defer cancel()
	sent := time.Now()
	ttl, err := r.Store.KeepAlive(ctx, acquired.id)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	acquired.held.Update(func(h fleet.HeldLease) fleet.HeldLease {
		return h.WithRenewal(r.Rule, sent, ttl, time.Now())
	})
	return nil
}

// awaitLeaving ends the duty when this instance starts to shut down, so that another instance can
// take it at once.
func (r *Runner) awaitLeaving(ctx context.Context, end func(value.Reason)) {
	for {
		s, changed := r.Observer.Watch()
		if s.Leaving {
			end(ReasonLeaving)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// revoke ignores errors: a lease that is not revoked expires.
func (r *Runner) revoke(ctx context.Context, id plat.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Rule.Renew)
	defer cancel()
	_ = r.Store.Revoke(ctx, id)
}

func (r *Runner) recordEvent(event, duty string, reason value.Reason) {
	r.Record(state.RecordDecision{Event: event, Subject: duty, Reason: reason})
}
