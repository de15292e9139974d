package plat

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"endivehitch/core/policy"
	"endivehitch/io/clock"
)

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	Store Store
	// Reads and Writes are the calls a second that this instance may make; a watch is one read when it opens.
	Reads  float64
	Writes float64
	// Burst is how many calls of each sort may go at once after a pause.
	Burst int
	// Queue is how many calls may wait for the budget; more are turned away.
	Queue int
	// Watches is how many watches may wait at once.
	Watches int
	// Timeout bounds each try, but not a watch.
	Timeout time.Duration
	// Tries bounds the tries of a read and the attempts to settle a change whose answer was lost.
	Tries int
	// Retries is the further tries of reads a second over all callers.
	Retries float64
	Backoff policy.Backoff
	Seed    uint64
}

// Throttled is the error of a call that was turned away before it was made.
type Throttled struct {
	Reason string
}

// Error states the reason.
func (t Throttled) Error() string {
	return "call not made: " + t.Reason
}

// Is reports whether the target is ErrUnavailable, since nothing took effect.
func (t Throttled) Is(target error) bool {
	return target == ErrUnavailable
}

// Usage counts the calls that a budget has passed on to its store.
type Usage struct {
	Reads   int64
	Writes  int64
	Watches int64
	// Waiting is the watches open at the moment.
	Waiting int64
	// Coalesced is the reads that were answered by another one in flight.
	Coalesced int64
	Retries   int64
	Throttled int64
}

// Budget is a store client that keeps to a rate, joins identical reads and settles lost answers.
//
// A change is told from another writer's by its value, so values carry an identifier of the change.
type Budget struct {
	config  BudgetConfig
	reads   *rate.Limiter
	writes  *rate.Limiter
	retries *rate.Limiter
	joins   joins
	queued  atomic.Int64
	usage   policy.Cell[Usage]
	random  sync.Mutex
	rnd     *rand.Rand
}

// NewBudget returns a client over the store, or an error that names what the configuration lacks.
func NewBudget(c BudgetConfig) (*Budget, error) {
	switch {
	case c.Store == nil:
		return nil, errors.New("store budget: no store")
	case c.Reads <= 0 || c.Writes <= 0 || c.Burst < 1:
		return nil, errors.New("store budget: no rate")
	case c.Queue < 1 || c.Tries < 1 || c.Timeout <= 0:
		return nil, errors.New("store budget: no queue, tries or timeout")
	}
	return &Budget{
		config:  c,
		reads:   rate.NewLimiter(rate.Limit(c.Reads), c.Burst),
		writes:  rate.NewLimiter(rate.Limit(c.Writes), c.Burst),
		retries: rate.NewLimiter(rate.Limit(c.Retries), c.Burst),
		rnd:     rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}, nil
}

// Usage returns the counts so far.
func (b *Budget) Usage() Usage {
	return b.usage.Get()
}

func (b *Budget) count(add func(Usage) Usage) {
	b.usage.Update(add)
}

// admit waits for the limiter in a bounded queue.
func (b *Budget) admit(ctx context.Context, l *rate.Limiter) error {
	defer b.queued.Add(-1)
	if b.queued.Add(1) > int64(b.config.Queue) {
		return b.turnAway("queue is full")
	}
	if err := l.Wait(ctx); err != nil {
		return b.turnAway(err.Error())
	}
	return nil
}

func (b *Budget) turnAway(why string) error {
	b.count(func(u Usage) Usage { u.Throttled++; return u })
	return Throttled{Reason: why}
}

// pause waits the backoff after the given number of failed tries.
func (b *Budget) pause(ctx context.Context, failed int) error {
	b.random.Lock()
	d := b.config.Backoff.WithFailures(failed - 1).Delay(b.rnd)
	b.random.Unlock()
	if err := clock.Wait(ctx, d); err != nil {
		return fmt.Errorf("await next try: %w", err)
	}
	return nil
}
