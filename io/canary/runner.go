package canary

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
	"endivehitch/io/feeds"
)

const (
	// dutyLeaseTTL is the time after which the duty expires unless its lease is renewed, which happens
	// every dutyRenewInterval.
	dutyLeaseTTL      = 2 * time.Second
	dutyRenewInterval = 700 * time.Millisecond
	// judgeInterval is the time between two judgements of a roll-out.
	judgeInterval = 400 * time.Millisecond
	// askTimeout bounds the time in which other instances must answer.
	askTimeout         = 400 * time.Millisecond
	maxConcurrentCalls = 16
	// pauseBetweenHolds is the pause after an attempt to hold the duty, whether it succeeded or not.
	pauseBetweenHolds = 300 * time.Millisecond
)

// Store holds the duties and the recorded progress of roll-outs.
type Store interface {
	feeds.Leaser
	// TakeDuty takes the duty under the lease and returns its fencing token; the error wraps
	// feeds.ErrConflict while another instance holds it.
	TakeDuty(ctx context.Context, d relay.Duty, lease int64) (int64, error)
	// WriteProgress writes the progress by compare-and-swap: if the stored record is still that of the
	// revision and the duty is still held under the fencing token. Otherwise the error wraps
	// feeds.ErrConflict.
	WriteProgress(ctx context.Context, p relay.Progress, dutyToken, revision int64) error
}

// TallySource requests tallies from other instances.
type TallySource interface {
	// Tallies requests the tallies of the instance at the address.
	Tallies(ctx context.Context, address string) ([]relay.Tally, error)
}

// Runner takes the duty of an open roll-out and judges the roll-out while it holds the duty.
type Runner struct {
	Store   Store
	Peers   TallySource
	Control feeds.Control
	// OwnTallies returns this instance's tallies.
	OwnTallies func() []relay.Tally
	Now        func() time.Time
	// OnError is called with each error; the work is retried.
	OnError func(error)
	// OnPhaseChange is called after each recorded change of a roll-out's phase.
	OnPhaseChange func(p relay.Progress, detail string)
}

// Run judges roll-outs until the context ends.
func (r Runner) Run(ctx context.Context) error {
	for {
		s, changed := r.Control.Watch()
		rollOut, ok := findVacantRollOut(s)
		if !ok || !s.StoreUnreachableSince.IsZero() {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
			continue
		}
		delay, _ := query.TakeoverDelay(s, rollOut.Order.Service)
		if r.waitTurn(ctx, delay, rollOut.Order.Service) {
			continue
		}
		err := r.holdDuty(ctx, rollOut)
		if err != nil && ctx.Err() == nil && !errors.Is(err, feeds.ErrConflict) {
			r.OnError(err)
		}
		if !clock.WaitFully(ctx, pauseBetweenHolds) {
			return nil
		}
	}
}

// waitTurn waits for the delay, after which it is this instance's turn to take the duty. It reports
// whether there is nothing left to take: another instance took the duty meanwhile, the roll-out ended, or
// the context did.
func (r Runner) waitTurn(ctx context.Context, delay time.Duration, service relay.ServiceName) bool {
	if !clock.WaitFully(ctx, delay) {
		return true
	}
	s := r.Control.Snapshot()
	rollOut, ok := s.RollOut(service)
	_, vacant := query.TakeoverDelay(s, service)
	return !vacant || !ok || rollOut.Phase().IsFinal()
}

// findVacantRollOut returns the roll-out, first by service, that has not ended and whose duty no instance
// holds.
func findVacantRollOut(s relay.State) (relay.RollOutState, bool) {
	for _, service := range slices.Sorted(maps.Keys(s.RollOuts())) {
		rollOut, _ := s.RollOut(service)
		if rollOut.Order.Target == "" || rollOut.Phase().IsFinal() {
			continue
		}
		if _, vacant := query.TakeoverDelay(s, service); vacant {
			return rollOut, true
		}
	}
	return relay.RollOutState{}, false
}

// holdDuty takes the duty and judges the roll-out until it has ended or the duty is lost.
func (r Runner) holdDuty(ctx context.Context, rollOut relay.RollOutState) error {
	lease, err := r.Store.Acquire(ctx, dutyLeaseTTL)
	if err != nil {
		return fmt.Errorf("acquire lease of the duty: %w", err)
	}
	defer func() {
		if err := r.Store.Release(context.WithoutCancel(ctx), lease); err != nil && !errors.Is(err, feeds.ErrLeaseExpired) {
			r.OnError(fmt.Errorf("release lease of the duty: %w", err))
		}
	}()
	service := rollOut.Order.Service
	token, err := r.Store.TakeDuty(ctx, relay.Duty{Service: service, Holder: r.Control.Snapshot().Self.Name}, lease)
	if err != nil {
		return fmt.Errorf("take the duty: %w", err)
	}
	renewed := r.Now()
	for {
		done, err := r.judge(ctx, service, token)
		if err != nil || done {
			return err
		}
		if !clock.WaitFully(ctx, judgeInterval) {
			return nil
		}
		if now := r.Now(); now.Sub(renewed) >= dutyRenewInterval {
			if err := r.Store.Renew(ctx, lease); err != nil {
				return fmt.Errorf("renew lease of the duty: %w", err)
			}
			renewed = now
		}
	}
}

// judge judges the roll-out once, records a change of its phase, and reports whether the roll-out has
// ended.
func (r Runner) judge(ctx context.Context, service relay.ServiceName, token int64) (bool, error) {
	tallies := r.collectTallies(ctx)
	s := r.Control.Snapshot()
	rollOut, ok := s.RollOut(service)
	if !ok || rollOut.Phase().IsFinal() {
		return true, nil
	}
	phase, detail := query.Judge(s, rollOut, tallies, r.Now())
	if phase == rollOut.Phase() {
		return false, nil
	}
	progress := relay.Progress{Service: service, Target: rollOut.Order.Target, Phase: phase}
	if err := r.Store.WriteProgress(ctx, progress, token, rollOut.ProgressRevision); err != nil {
		return false, fmt.Errorf("record progress of the roll-out of %s: %w", service, err)
	}
	r.OnPhaseChange(progress, detail)
	return phase.IsFinal(), nil
}

// collectTallies requests the tallies of all instances concurrently. One that doesn't answer in time is
// left out this time.
func (r Runner) collectTallies(ctx context.Context) []relay.Tally {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s := r.Control.Snapshot()
	answers := make([][]relay.Tally, len(s.Members()))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, m := range s.Members() {
		if m.Name == s.Self.Name {
			continue
		}
		group.Go(func() error {
			// Tallies are cumulative, so what is missing now is in the next answer.
			answers[i], _ = r.Peers.Tallies(ctx, m.Address)
			return nil
		})
	}
	_ = group.Wait()
	all := r.OwnTallies()
	for _, list := range answers {
		all = append(all, list...)
	}
	return all
}
