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

// Config sets up a Guard.
type Config struct {
	Self  value.InstanceID
	Store plat.Store
	// Owner returns the instance that gathers the writes of a slot; without one, this instance writes.
	Owner func(slot int) (value.Instance, bool)
	// Caller reaches owners; without it, this instance writes all slots itself.
	Caller peer.Caller
	// Gone reports whether an instance has left for good.
	Gone func(value.InstanceID) bool
	Now  func() time.Time
	Rule ledger.JournalRule
	// Slots is the number of journals; it is the same at all instances and never changes.
	Slots int
	// Writes is the journal writes a second that this instance may make.
	Writes float64
	// Interval is the least time between two writes of one journal; claims gather meanwhile.
	Interval time.Duration
	// Group bounds the operations of one write.
	Group int
	// Queue bounds the operations that wait at one slot.
	Queue int
	// OwnerTimeout bounds the wait for an owner before this instance writes itself.
	OwnerTimeout time.Duration
	// StoreTimeout bounds each call to the store.
	StoreTimeout time.Duration
	// SettleWait is how long an answer waits for its record; the record is kept later where it takes longer.
	SettleWait time.Duration
	// Backlog bounds the claims whose end is still to be recorded.
	Backlog int
	Backoff policy.Backoff
	// NewToken returns an identifier that no other claim has.
	NewToken func() string
	Seed     uint64
}

func (c Config) check() error {
	switch {
	case c.Self == "":
		return errors.New("once: no instance")
	case c.Store == nil:
		return errors.New("once: no store")
	case c.Owner == nil || c.Gone == nil || c.Now == nil || c.NewToken == nil:
		return errors.New("once: no owner, membership, clock or token function")
	case c.Slots < 1 || c.Group < 1 || c.Queue < 1 || c.Backlog < 1:
		return errors.New("once: no slots, group, queue or backlog")
	case c.Writes <= 0 || c.StoreTimeout <= 0 || c.OwnerTimeout <= 0:
		return errors.New("once: no write rate or timeouts")
	case c.Rule.MaxBytes < 1 || c.Rule.MaxBytes > plat.ValueLimit:
		return fmt.Errorf("once: journal of %d bytes", c.Rule.MaxBytes)
	}
	return nil
}

// Usage counts what a guard has done.
type Usage struct {
	// Operations is the operations decided on by this instance, and Commits the writes they took.
	Operations int64
	Commits    int64
	// Conflicts is the writes that another writer's was ahead of.
	Conflicts int64
	// Forwarded is the operations that an owner took.
	Forwarded int64
}

// Guard implements flow.Guard over the platform's store.
type Guard struct {
	config  Config
	limiter *rate.Limiter
	slots   []*slot
	usage   policy.Cell[Usage]
	work    sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	mu        sync.Mutex
	closed    bool
	unsettled int
	// settled is closed while no claim waits for its end to be recorded.
	settled chan struct{}
	rnd     *rand.Rand
}

// New returns a guard, or an error that names what the configuration lacks.
func New(c Config) (*Guard, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	g := &Guard{
		config:  c,
		limiter: rate.NewLimiter(rate.Limit(c.Writes), 1),
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

// Usage returns the counts so far.
func (g *Guard) Usage() Usage {
	return g.usage.Get()
}

// Unsettled returns how many claims ended without their end being recorded yet.
func (g *Guard) Unsettled() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unsettled
}

// Drain waits until the end of every claim is recorded, or for the context.
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

// Close stops all work; what is not recorded then becomes an unknown outcome to later callers.
func (g *Guard) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.work.Wait()
}

var errClosed = errors.New("guard is closed")

// start runs the function in a goroutine that Close waits for, unless the guard is closed.
func (g *Guard) start(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.work.Go(f)
	return true
}

func (g *Guard) owns(number int) bool {
	owner, ok := g.config.Owner(number)
	return !ok || owner.ID == g.config.Self || g.config.Caller == nil
}

func (g *Guard) count(add func(Usage) Usage) {
	g.usage.Update(add)
}

// pause waits the backoff after the given number of failed tries.
func (g *Guard) pause(ctx context.Context, failed int) error {
	g.mu.Lock()
	d := g.config.Backoff.WithFailures(failed - 1).Delay(g.rnd)
	g.mu.Unlock()
	return clock.Wait(ctx, d)
}
