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

// The reasons for changes of a duty's holder.
const (
	ReasonVacant  value.Reason = "DutyVacant"
	ReasonEnded   value.Reason = "TermEnded"
	ReasonDone    value.Reason = "DutyDone"
	ReasonLeaving value.Reason = "InstanceLeaving"
)

// holding is a lease that this instance was granted, with the duty's key under it.
type holding struct {
	lease  plat.LeaseID
	tenure *policy.Cell[fleet.HeldLease]
}

// take grants a lease and puts the duty's key under it; the key's revision is the fencing token.
func (r *Runner) take(ctx context.Context, duty string) (holding, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Rule.Length-r.Rule.Margin)
	defer cancel()
	sent := time.Now()
	id, err := r.Store.Grant(ctx, r.Rule.Length)
	if err != nil {
		return holding{}, fmt.Errorf("grant lease for %s: %w", duty, err)
	}
	key := r.Prefix + duty
	s, _ := r.Observer.Watch()
	fence, err := r.Store.Swap(ctx, plat.Swap{Key: key, Value: []byte(s.Self.ID), Lease: id})
	if errors.Is(err, plat.ErrUnknown) {
		fence, err = r.readBack(ctx, key, id)
	}
	if err != nil {
		r.revoke(ctx, id)
		return holding{}, fmt.Errorf("take duty %s: %w", duty, err)
	}
	return holding{lease: id, tenure: policy.NewCell(fleet.NewHeldLease(r.Rule, fence, sent))}, nil
}

// readBack finds out whether a swap whose answer was lost took effect.
func (r *Runner) readBack(ctx context.Context, key string, id plat.LeaseID) (int64, error) {
	e, err := r.Store.Get(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("read back %s: %w", key, err)
	}
	if e.Revision == 0 || e.Lease != id {
		return 0, plat.Conflict{Present: e}
	}
	return e.Revision, nil
}

// hold serves the duty until it is done, the term ends, or the instance leaves.
func (r *Runner) hold(ctx context.Context, d Duty, h holding) error {
	r.record("DutyTaken", d.Name, ReasonVacant)
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var ended sync.WaitGroup
	why := policy.NewCell(ReasonDone)
	end := func(reason value.Reason) {
		why.TryUpdate(func(was value.Reason) (value.Reason, bool) { return reason, was == ReasonDone })
		stop()
	}
	ended.Go(func() { r.renew(serving, h, end) })
	ended.Go(func() { r.leave(serving, end) })
	err := d.Run(serving, Term{rule: r.Rule, tenure: h.tenure})
	stop()
	ended.Wait()
	// Whoever still has the term must not act on it while the next holder does.
	h.tenure.Update(fleet.HeldLease.WithEnd)
	r.record("DutyLeft", d.Name, why.Get())
	r.revoke(context.WithoutCancel(ctx), h.lease)
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("serve duty %s: %w", d.Name, err)
	}
	return nil
}

// renew keeps the lease alive, and ends the duty before the lease can lapse.
func (r *Runner) renew(ctx context.Context, h holding, end func(value.Reason)) {
	for {
		left := h.tenure.Get().Remaining(time.Now())
		if left <= 0 {
			end(ReasonEnded)
			return
		}
		clock.Passed(ctx, min(r.Rule.Renew, left))
		if ctx.Err() != nil {
			return
		}
		if err := r.renewOnce(ctx, h); errors.Is(err, plat.ErrLeaseLost) {
			end(ReasonEnded)
			return
		}
	}
}

func (r *Runner) renewOnce(ctx context.Context, h holding) error {
	left := h.tenure.Get().Remaining(time.Now())
	ctx, cancel := context.WithTimeout(ctx, min(r.Rule.Renew, max(left, 0)))
	defer cancel()
	sent := time.Now()
	granted, err := r.Store.KeepAlive(ctx, h.lease)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	h.tenure.Update(func(t fleet.HeldLease) fleet.HeldLease {
		return t.WithRenewal(r.Rule, sent, granted, time.Now())
	})
	return nil
}

// leave ends the duty when the instance is shutting down, so that another can take it at once.
func (r *Runner) leave(ctx context.Context, end func(value.Reason)) {
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

// revoke is best effort: a lease that is not revoked lapses.
func (r *Runner) revoke(ctx context.Context, id plat.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Rule.Renew)
	defer cancel()
	_ = r.Store.Revoke(ctx, id)
}

func (r *Runner) record(what, duty string, why value.Reason) {
	r.Record(state.RecordDecision{Event: what, Subject: duty, Reason: why})
}
