package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/fleet"
	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/io/clock"
	"endivehitch/io/plat"
)

const (
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second
)

// Duty is a singleton task of the fleet, run by the instance that holds its lease.
type Duty struct {
	Name string
	// Run runs the task until the context ends, which is no later than the end of the term.
	Run func(ctx context.Context, t Term) error
}

// Observer gives access to the control state and its changes; *loop.Loop implements it.
type Observer interface {
	// Watch returns the latest state and a channel that is closed when there is a newer one.
	Watch() (state.State, <-chan struct{})
}

// Config configures a Runner.
type Config struct {
	Observer Observer
	Store    plat.Store
	// Prefix is the prefix of the duties' keys in the key-value service.
	Prefix string
	Rule   fleet.LeaseRule
	Duties []Duty
	// Record is called when this instance takes or leaves a duty; it may be nil.
	Record func(state.RecordDecision)
	// Seed makes the jitter of the backoff reproducible.
	Seed uint64
}

// Runner contends for the leases of its duties and runs each duty while it holds the lease.
type Runner struct {
	Config
	// mu guards rnd.
	mu  sync.Mutex
	rnd *rand.Rand
}

// New returns a runner, or an error if the configuration is incomplete or the lease rule is unsafe.
func New(c Config) (*Runner, error) {
	if c.Observer == nil || c.Store == nil {
		return nil, errors.New("lease: Observer or Store is not set")
	}
	if err := c.Rule.Check(); err != nil {
		return nil, err
	}
	if c.Record == nil {
		c.Record = func(state.RecordDecision) {}
	}
	return &Runner{Config: c, rnd: rand.New(rand.NewPCG(c.Seed, 2))}, nil
}

// Run contends for all duties and runs those that it acquires, until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, d := range r.Duties {
		g.Go(func() error {
			r.contendRepeatedly(ctx, d)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run duties: %w", err)
	}
	return nil
}

// contendRepeatedly contends for the duty whenever this instance is a candidate, until the context
// ends. It pauses after each time, and longer after consecutive failures.
func (r *Runner) contendRepeatedly(ctx context.Context, duty Duty) {
	backoff := policy.Backoff{InitialDelay: initialBackoff, MaxDelay: maxBackoff}
	for r.awaitCandidacy(ctx, duty.Name) {
		err := r.contend(ctx, duty)
		backoff = backoff.WithFailure()
		if err == nil {
			backoff = backoff.WithSuccess()
		}
		clock.WaitFully(ctx, r.delay(backoff))
	}
}

// awaitCandidacy waits until this instance is a candidate for the duty; it returns false if the
// context ends first.
func (r *Runner) awaitCandidacy(ctx context.Context, duty string) bool {
	for ctx.Err() == nil {
		s, changed := r.Observer.Watch()
		if query.IsDutyCandidate(s, duty, time.Now()) {
			return true
		}
		select {
		case <-changed:
		case <-time.After(query.DutyRotation):
		case <-ctx.Done():
		}
	}
	return false
}

// contend acquires and runs the duty, or waits until the current holder's lease is released or
// expires.
func (r *Runner) contend(ctx context.Context, d Duty) error {
	acquired, err := r.acquire(ctx, d.Name)
	var conflict plat.Conflict
	if errors.As(err, &conflict) {
		return r.awaitVacancy(ctx, conflict.Current)
	}
	if err != nil {
		return err
	}
	return r.serveTerm(ctx, d, acquired)
}

// awaitVacancy returns when the duty's key is deleted, as it is when the holder's lease ends, when
// the watch ends, or after DutyRotation, because the duty's candidates have changed by then.
func (r *Runner) awaitVacancy(ctx context.Context, held plat.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, query.DutyRotation)
	defer cancel()
	events, err := r.Store.Watch(ctx, held.Key, held.Revision+1)
	if err != nil {
		return fmt.Errorf("watch duty: %w", err)
	}
	for e := range events {
		if e.Entry.Key == held.Key && e.Deleted {
			return nil
		}
	}
	return nil
}

// delay returns the backoff's next delay with jitter.
func (r *Runner) delay(b policy.Backoff) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return b.Delay(r.rnd)
}
