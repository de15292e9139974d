package rolls

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
	"endivehitch/io/feeds"
)

const (
	// dutyLife is how long the duty lasts without renewal, and dutyRenew how often it is renewed.
	dutyLife  = 2 * time.Second
	dutyRenew = 700 * time.Millisecond
	// judgeEvery is the time between two looks at a roll-out.
	judgeEvery = 400 * time.Millisecond
	askTimeout = 400 * time.Millisecond
	mostAtOnce = 16
	idlePause  = 300 * time.Millisecond
)

// Store records roll-outs.
type Store interface {
	feeds.Leaser
	// TakeDuty returns the duty's fencing token; the error wraps feeds.ErrConflict while another holds it.
	TakeDuty(ctx context.Context, d relay.Duty, lease int64) (int64, error)
	// Write records progress under the duty's fencing token, in place of the record of the revision.
	Write(ctx context.Context, p relay.Progress, duty, revision int64) error
}

// Peers asks other instances what they have seen.
type Peers interface {
	// Tallies asks the instance at the address.
	Tallies(ctx context.Context, address string) ([]relay.Tally, error)
}

// Runner takes up the duty whenever a roll-out is open.
type Runner struct {
	Store   Store
	Peers   Peers
	Control feeds.Control
	// Own returns what this instance has seen.
	Own func() []relay.Tally
	Now func() time.Time
	// Failed is told of what went wrong; it is tried again.
	Failed func(error)
	// Judged is told of each change of a roll-out's phase.
	Judged func(p relay.Progress, detail string)
}

// Run looks after roll-outs until the context ends.
func (r Runner) Run(ctx context.Context) error {
	for {
		s, changed := r.Control.Watch()
		plan, open := openPlan(s)
		if open {
			_, open = query.Vacant(s, plan.Order.Service)
		}
		if !open || !s.Away.IsZero() {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
			continue
		}
		turn, _ := query.Vacant(s, plan.Order.Service)
		if r.moved(ctx, turn, plan.Order.Service) {
			continue
		}
		err := r.hold(ctx, plan)
		if err != nil && ctx.Err() == nil && !errors.Is(err, feeds.ErrConflict) {
			r.Failed(err)
		}
		if !clock.Passed(ctx, idlePause) {
			return nil
		}
	}
}

// moved waits for this instance's turn, and reports whether another took the duty meanwhile, or ended it.
func (r Runner) moved(ctx context.Context, turn time.Duration, n relay.ServiceName) bool {
	if !clock.Passed(ctx, turn) {
		return true
	}
	s := r.Control.Snapshot()
	plan, ok := s.Plan(n)
	_, vacant := query.Vacant(s, n)
	return !vacant || !ok || plan.Phase().Final()
}

// openPlan returns a roll-out that has not come to its end.
func openPlan(s relay.State) (relay.Plan, bool) {
	for _, p := range s.Plans() {
		if p.Order.Target != "" && !p.Phase().Final() {
			return p, true
		}
	}
	return relay.Plan{}, false
}

// hold takes the duty and looks after the roll-out until its end, or until the duty is lost.
func (r Runner) hold(ctx context.Context, p relay.Plan) error {
	lease, err := r.Store.Lease(ctx, dutyLife)
	if err != nil {
		return fmt.Errorf("take the duty's lease: %w", err)
	}
	defer func() {
		if err := r.Store.Release(context.WithoutCancel(ctx), lease); err != nil && !errors.Is(err, feeds.ErrLapsed) {
			r.Failed(fmt.Errorf("end the duty: %w", err))
		}
	}()
	service := p.Order.Service
	duty, err := r.Store.TakeDuty(ctx, relay.Duty{Service: service, Holder: r.Control.Snapshot().Self.Name}, lease)
	if err != nil {
		return fmt.Errorf("take the duty: %w", err)
	}
	renewed := r.Now()
	for {
		done, err := r.look(ctx, service, duty)
		if err != nil || done {
			return err
		}
		if !clock.Passed(ctx, judgeEvery) {
			return nil
		}
		if now := r.Now(); now.Sub(renewed) >= dutyRenew {
			if err := r.Store.Keep(ctx, lease); err != nil {
				return fmt.Errorf("renew the duty: %w", err)
			}
			renewed = now
		}
	}
}

// look judges the roll-out once and records a change of its phase.
func (r Runner) look(ctx context.Context, n relay.ServiceName, duty int64) (bool, error) {
	seen := r.gather(ctx)
	s := r.Control.Snapshot()
	p, ok := s.Plan(n)
	if !ok || p.Phase().Final() {
		return true, nil
	}
	phase, detail := query.Judge(s, p, seen, r.Now())
	if phase == p.Phase() {
		return false, nil
	}
	progress := relay.Progress{Service: n, Target: p.Order.Target, Phase: phase}
	if err := r.Store.Write(ctx, progress, duty, p.ProgressRevision); err != nil {
		return false, fmt.Errorf("record the roll-out of %s: %w", n, err)
	}
	r.Judged(progress, detail)
	return phase.Final(), nil
}

// gather asks all instances at once; one that doesn't answer in time is left out this time.
func (r Runner) gather(ctx context.Context) []relay.Tally {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s := r.Control.Snapshot()
	found := make([][]relay.Tally, len(s.Members()))
	var g errgroup.Group
	g.SetLimit(mostAtOnce)
	for i, m := range s.Members() {
		if m.Name == s.Self.Name {
			continue
		}
		g.Go(func() error {
			// Tallies only grow, so what one answer lacks comes with the next.
			found[i], _ = r.Peers.Tallies(ctx, m.Address)
			return nil
		})
	}
	_ = g.Wait()
	all := r.Own()
	for _, list := range found {
		all = append(all, list...)
	}
	return all
}
