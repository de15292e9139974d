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

const defaultListInterval = 30 * time.Second

// Control gives access to the control loop.
type Control interface {
	// Snapshot returns the latest state.
	Snapshot() state.State
	// Do runs a command in the loop and returns once the resulting state is published.
	Do(ctx context.Context, c loop.Command[state.State, state.Effect]) error
}

// Config configures a Gossip.
type Config struct {
	Control   Control
	Caller    peer.Caller
	Registrar peer.Registrar
	// List is the platform's instance list.
	List plat.InstanceList
	// Store is the key-value service; it holds the configuration's entries under Prefix.
	Store  plat.Reader
	Prefix string
	// Decode turns the changed entries, ordered by revision, into the command that puts them in force.
	// If it returns an error, the command holds the entries that could be decoded. The caller sets the
	// command's Revision and Rejected fields.
	Decode func(changed []plat.Entry) (cmds.InstallRevision, error)
	Timing fleet.Timing
	// ListInterval is the time between reads of the instance list; zero means 30 s.
	ListInterval time.Duration
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Gossip runs membership and the dissemination of the configuration for one instance.
type Gossip struct {
	membership   *membership
	disseminator *disseminator
	// configChanged and leaving hold at most one signal each.
	configChanged chan struct{}
	leaving       chan struct{}
	// noticed is closed once the departure notice has been sent.
	noticed chan struct{}
	// departed closes noticed.
	departed func()
}

// New registers the methods that other instances call and returns a Gossip that is not running yet.
func New(config Config) (*Gossip, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	if config.ListInterval == 0 {
		config.ListInterval = defaultListInterval
	}
	rnd := &lockedRand{rnd: rand.New(rand.NewPCG(config.Seed, 1))}
	listRead := make(chan struct{})
	g := &Gossip{
		membership:    &membership{Config: config, rnd: rnd, listRead: listRead},
		disseminator:  newDisseminator(config, rnd, listRead),
		configChanged: make(chan struct{}, 1),
		leaving:       make(chan struct{}, 1),
		noticed:       make(chan struct{}),
	}
	g.departed = sync.OnceFunc(func() { close(g.noticed) })
	if err := errors.Join(g.membership.serve(config.Registrar), g.disseminator.serve(config.Registrar)); err != nil {
		return nil, fmt.Errorf("register gossip methods: %w", err)
	}
	return g, nil
}

func (c Config) check() error {
	switch {
	case c.Control == nil:
		return errors.New("gossip: Control is not set")
	case c.Caller == nil || c.Registrar == nil:
		return errors.New("gossip: Caller or Registrar is not set")
	case c.List == nil:
		return errors.New("gossip: List is not set")
	case c.Store == nil || c.Decode == nil:
		return errors.New("gossip: Store or Decode is not set")
	case c.Timing.Period <= 0 || c.Timing.Rotation <= 0 || c.Timing.ProbesPerReconnect < 1:
		return errors.New("gossip: Timing needs positive Period, Rotation and ProbesPerReconnect")
	}
	return nil
}

// Handle carries out an effect of the control loop that concerns the fleet and ignores all others;
// it never blocks.
func (g *Gossip) Handle(e state.Effect) {
	switch e := e.(type) {
	case state.AnnounceConfig:
		signal(g.configChanged)
	case state.SendDepartureNotice:
		signal(g.leaving)
	case state.FetchConfig:
		g.disseminator.requestPull(e)
	}
}

// Install puts in force entries of the key-value service that this process has read or written by
// other means than the watch of this Gossip.
func (g *Gossip) Install(ctx context.Context, entries ...plat.Entry) error {
	return g.disseminator.installEntries(ctx, entries)
}

// Run runs the protocols until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.membership.run(ctx) })
	group.Go(func() error { return g.disseminator.run(ctx) })
	group.Go(func() error { return g.sendNotices(ctx) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("run gossip: %w", err)
	}
	return nil
}

// departureNoticeTime bounds the wait for a departure notice. An instance that doesn't answer learns of the departure from
// the others.
const departureNoticeTime = 500 * time.Millisecond

// AwaitDepartureNotice returns once an instance that is leaving has told the others, or after departureNoticeTime.
func (g *Gossip) AwaitDepartureNotice(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureNoticeTime)
	defer cancel()
	select {
	case <-g.noticed:
	case <-ctx.Done():
	}
}

// sendNotices announces new configurations and the departure without waiting for the next probe.
func (g *Gossip) sendNotices(ctx context.Context) error {
	for {
		select {
		case <-g.configChanged:
			g.membership.pushConfig(ctx)
		case <-g.leaving:
			g.membership.sendDepartureNotice(ctx)
			g.departed()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// signal leaves a signal in the channel unless one is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lockedRand is a source of random numbers that several goroutines can use.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

var _ policy.Rand = (*lockedRand)(nil)

// IntN returns a number from 0 to n-1.
func (s *lockedRand) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}
