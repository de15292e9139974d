package once

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"endivehitch/core/ledger"
	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/peer"
	"endivehitch/io/plat"
)

// Config configures a Guard.
type Config struct {
	Self  value.InstanceID
	Store plat.Store
	// Owner returns the instance that owns a slot; this instance writes slots that have no owner.
	Owner func(slot int) (value.Instance, bool)
	// Caller sends operations to owners; if it is nil, this instance writes all slots itself.
	Caller peer.Caller
	// HasDeparted reports whether an instance has departed for good.
	HasDeparted func(value.InstanceID) bool
	Now         func() time.Time
	Rule        ledger.JournalRule
	// Slots is the number of journals; it must be the same at all instances and never change.
	Slots int
	// WriteRate is the number of journal writes per second that this instance may make.
	WriteRate float64
	// WriteInterval is the least time between two writes of one journal; operations that arrive
	// meanwhile share the next write.
	WriteInterval time.Duration
	// MaxGroup bounds the operations in one write.
	MaxGroup int
	// MaxQueue bounds the operations waiting at one slot.
	MaxQueue int
	// OwnerTimeout bounds a forwarded operation at the sender and at the owner; after it the sender
	// decides the operation itself.
	OwnerTimeout time.Duration
	// StoreTimeout bounds each call to the store.
	StoreTimeout time.Duration
	// RecordWait is how long the end of a claim waits for its record; a record that takes longer is
	// written in the background.
	RecordWait time.Duration
	// MaxBacklog bounds the claims whose end is not recorded yet.
	MaxBacklog int
	Backoff    policy.Backoff
	// NewToken returns a token that no other claim has.
	NewToken func() string
	// Seed initializes the jitter of the backoff.
	Seed uint64
}

func (c Config) check() error {
	switch {
	case c.Self == "":
		return errors.New("once: no instance identifier configured")
	case c.Store == nil:
		return errors.New("once: no store configured")
	case c.Owner == nil || c.HasDeparted == nil || c.Now == nil || c.NewToken == nil:
		return errors.New("once: owner, departure, clock or token function not configured")
	case c.Slots < 1 || c.MaxGroup < 1 || c.MaxQueue < 1 || c.MaxBacklog < 1:
		return errors.New("once: slots, group, queue and backlog must be at least 1")
	case c.WriteRate <= 0 || c.StoreTimeout <= 0 || c.OwnerTimeout <= 0:
		return errors.New("once: write rate, store timeout and owner timeout must be positive")
	case c.Rule.MaxBytes < 1 || c.Rule.MaxBytes > plat.ValueLimit:
		return fmt.Errorf("once: journal limit of %d bytes is out of range", c.Rule.MaxBytes)
	}
	return nil
}

// Stats holds the counters of a Guard.
type Stats struct {
	// Operations counts the operations that this instance tried to decide, Commits the journal writes
	// that it tried for them.
	Operations int64
	Commits    int64
	// Conflicts counts the writes that failed because another writer had changed the journal.
	Conflicts int64
	// Forwarded counts the operations that an owner decided for this instance.
	Forwarded int64
}

// Guard implements flow.IdempotencyGuard with journals in the platform's key-value service.
type Guard struct {
	config  Config
	limiter *rate.Limiter
	slots   []*slot
	stats   policy.Cell[Stats]
	workers sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	// mu guards the fields below.
	mu     sync.Mutex
	closed bool
	// unsettled counts the claims whose end is not recorded yet; settled is closed while it is zero.
	unsettled int
	settled   chan struct{}
	rnd       *rand.Rand
}

// New returns a Guard, or an error that names what the configuration lacks.
func New(c Config) (*Guard, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	g := &Guard{
		config:  c,
		limiter: rate.NewLimiter(rate.Limit(c.WriteRate), 1),
		slots:   make([]*slot, c.Slots),
		settled: make(chan struct{}),
		rnd:     rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	close(g.settled)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	for i := range g.slots {
		g.slots[i] = &slot{guard: g, number: i}
	}
	return g, nil
}

// Stats returns the counts so far.
func (g *Guard) Stats() Stats {
	return g.stats.Get()
}

// Unsettled returns the number of claims that have ended but whose end is not recorded yet.
func (g *Guard) Unsettled() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unsettled
}

// Drain waits until the end of every claim is recorded or the context is done.
func (g *Guard) Drain(ctx context.Context) error {
	g.mu.Lock()
	settled := g.settled
	g.mu.Unlock()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("record the end of %d claims: %w", g.Unsettled(), ctx.Err())
	}
}

// Close stops all workers; the outcome of a claim whose end is not recorded by then is unknown to
// later callers.
func (g *Guard) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.workers.Wait()
}

var errClosed = errors.New("guard is closed")

// start runs the function in a goroutine that Close waits for, unless the guard is closed.
func (g *Guard) start(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.workers.Go(f)
	return true
}

// decidesLocally reports whether this instance decides on the operations of a slot itself.
func (g *Guard) decidesLocally(number int) bool {
	owner, ok := g.config.Owner(number)
	return !ok || owner.ID == g.config.Self || g.config.Caller == nil
}

func (g *Guard) updateStats(add func(Stats) Stats) {
	g.stats.Update(add)
}

// backOff waits for the backoff delay that follows the given number of failed attempts.
func (g *Guard) backOff(ctx context.Context, failures int) error {
	g.mu.Lock()
	delay := g.config.Backoff.WithFailures(failures - 1).Delay(g.rnd)
	g.mu.Unlock()
	return clock.Wait(ctx, delay)
}
