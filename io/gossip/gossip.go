package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/cmds"
	"endivehitch/core/fleet"
	"endivehitch/core/loop"
	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/io/peer"
	"endivehitch/io/plat"
)

const defaultListEvery = 30 * time.Second

// Control is the control loop as workers use it.
type Control interface {
	// Snapshot returns the latest state.
	Snapshot() state.State
	// Do hands a command to the loop and returns once its state is published.
	Do(ctx context.Context, c loop.Command[state.State, state.Effect]) error
}

// Config sets up a Gossip.
type Config struct {
	Control   Control
	Caller    peer.Caller
	Registrar peer.Registrar
	// List is the platform's instance list.
	List plat.InstanceList
	// Store holds the configuration's entries under the prefix.
	Store  plat.Reader
	Prefix string
	// Decode turns the entries that changed, in the order of revisions, into what is to be put in
	// force. Where it returns an error, the command holds what could be decoded. The command's own
	// revision is set from the entries.
	Decode func(changed []plat.Entry) (cmds.InstallRevision, error)
	Timing fleet.Timing
	// ListEvery is how often the instance list is read; zero means the default.
	ListEvery time.Duration
	// Seed makes the random choices repeatable.
	Seed uint64
}

// Gossip is one instance's part in the membership and in the spread of the configuration.
type Gossip struct {
	member   *member
	spread   *spread
	push     chan struct{}
	farewell chan struct{}
}

// New registers the methods for other instances and returns a Gossip that does not yet run.
func New(c Config) (*Gossip, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if c.ListEvery == 0 {
		c.ListEvery = defaultListEvery
	}
	rnd := &source{rnd: rand.New(rand.NewPCG(c.Seed, 1))}
	listed := make(chan struct{})
	g := &Gossip{
		member:   &member{Config: c, rnd: rnd, listed: listed},
		spread:   newSpread(c, rnd, listed),
		push:     make(chan struct{}, 1),
		farewell: make(chan struct{}, 1),
	}
	if err := errors.Join(g.member.serve(c.Registrar), g.spread.serve(c.Registrar)); err != nil {
		return nil, fmt.Errorf("offer methods: %w", err)
	}
	return g, nil
}

func (c Config) check() error {
	switch {
	case c.Control == nil:
		return errors.New("gossip: no control loop")
	case c.Caller == nil || c.Registrar == nil:
		return errors.New("gossip: no transport")
	case c.List == nil:
		return errors.New("gossip: no instance list")
	case c.Store == nil || c.Decode == nil:
		return errors.New("gossip: no configuration store")
	case c.Timing.Period <= 0 || c.Timing.Rotation <= 0 || c.Timing.ProbesPerReconnect < 1:
		return errors.New("gossip: incomplete timing")
	}
	return nil
}

// Handle takes an effect of the control loop that concerns the fleet; it never blocks.
func (g *Gossip) Handle(e state.Effect) {
	switch e := e.(type) {
	case state.AnnounceConfig:
		signal(g.push)
	case state.SendDepartureNotice:
		signal(g.farewell)
	case state.FetchConfig:
		g.spread.want(e)
	}
}

// Offer puts entries in force that were read from the key-value service elsewhere in this process.
func (g *Gossip) Offer(ctx context.Context, entries ...plat.Entry) error {
	return g.spread.offer(ctx, entries)
}

// Run takes part in the fleet until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.member.run(ctx) })
	group.Go(func() error { return g.spread.run(ctx) })
	group.Go(func() error { return g.announce(ctx) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("take part in the fleet: %w", err)
	}
	return nil
}

func (g *Gossip) announce(ctx context.Context) error {
	for {
		select {
		case <-g.push:
			g.member.push(ctx)
		case <-g.farewell:
			g.member.bid(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// source is randomness for several goroutines.
type source struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

var _ policy.Rand = (*source)(nil)

// IntN returns a number from 0 to n-1.
func (s *source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}
