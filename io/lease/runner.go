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
	backoffFirst = time.Second
	backoffLimit = 30 * time.Second
)

// Duty is work that one instance of the fleet does at a time.
type Duty struct {
	Name string
	// Run works until the context ends, which is at the latest when the term does.
	Run func(ctx context.Context, t Term) error
}

// Observer reads the control state and learns of its changes; *loop.Loop is one.
type Observer interface {
	// Watch returns the latest state and a channel that is closed once there is a newer one.
	Watch() (state.State, <-chan struct{})
}

// Config sets up a Runner.
type Config struct {
	Observer Observer
	Store    plat.Store
	// Prefix is where the duties' keys are kept.
	Prefix string
	Rule   fleet.LeaseRule
	Duties []Duty
	// Record takes each change of a duty's holder; nil means none.
	Record func(state.RecordDecision)
	Seed   uint64
}

// Runner contends for duties and serves those that it gets.
type Runner struct {
	Config
	mu  sync.Mutex
	rnd *rand.Rand
}

// New returns a runner, or an error that names what the configuration lacks.
func New(c Config) (*Runner, error) {
	if c.Observer == nil || c.Store == nil {
		return nil, errors.New("lease: no control state or no store")
	}
	if err := c.Rule.Check(); err != nil {
		return nil, err
	}
	if c.Record == nil {
		c.Record = func(state.RecordDecision) {}
	}
	return &Runner{Config: c, rnd: rand.New(rand.NewPCG(c.Seed, 2))}, nil
}

// Run serves duties until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, d := range r.Duties {
		g.Go(func() error {
			r.serve(ctx, d)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("serve duties: %w", err)
	}
	return nil
}

func (r *Runner) serve(ctx context.Context, d Duty) {
	backoff := policy.Backoff{First: backoffFirst, Limit: backoffLimit}
	for r.awaitCandidacy(ctx, d.Name) {
		err := r.contend(ctx, d)
		backoff = backoff.WithFailure()
		if err == nil {
			backoff = backoff.WithSuccess()
		}
		clock.Passed(ctx, r.delay(backoff))
	}
}

// awaitCandidacy returns false once the context has ended.
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

// contend takes the duty and serves it, or waits until its holder is gone.
func (r *Runner) contend(ctx context.Context, d Duty) error {
	h, err := r.take(ctx, d.Name)
	var taken plat.Conflict
	if errors.As(err, &taken) {
		return r.awaitVacancy(ctx, taken.Present)
	}
	if err != nil {
		return err
	}
	return r.hold(ctx, d, h)
}

// awaitVacancy ends when the key is deleted, when the watch breaks off, or with the candidacy.
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

func (r *Runner) delay(b policy.Backoff) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return b.Delay(r.rnd)
}
