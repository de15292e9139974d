package feeds

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"endivehitch/core/loop"
	"endivehitch/core/relay"
	"endivehitch/core/relay/cmds"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
)

const (
	// watchWait is how long the store holds a call that waits for changes; a store that falls silent
	// is noticed after that time.
	watchWait = 2 * time.Second
	// settle gathers changes that come shortly after one another into one call.
	settle = 250 * time.Millisecond
	// peerSettle does so for calls to other instances, which are asked in turn.
	peerSettle = 100 * time.Millisecond
	// storeRetry is the first pause after a failed call, and storeRetryMost the longest.
	storeRetry     = 200 * time.Millisecond
	storeRetryMost = time.Second
	// peerWait is how long another instance holds a call that waits for news.
	peerWait    = 300 * time.Millisecond
	peerTimeout = 500 * time.Millisecond
	// bulkTimeout bounds an answer that holds everything.
	bulkTimeout = 3 * time.Second
	peerPause   = 200 * time.Millisecond
	// suspectFor is how long a reader that did not answer is passed over.
	suspectFor = 5 * time.Second
	tickEvery  = 500 * time.Millisecond
)

// Config sets up a Follower.
type Config struct {
	Store   Reader
	Peers   Peers
	Control Control
	// Seeds returns addresses of other instances that the settings name; they may be stale.
	Seeds func() []string
	// Grace is how long a live server that vanished while the store was away still counts.
	Grace time.Duration
	Now   func() time.Time
}

// Follower keeps the control state up to date.
type Follower struct {
	config Config
	// suspects are readers that did not answer, until when they are passed over; only Run uses it.
	suspects map[relay.MemberName]time.Time
	// trusted is set while the store answered this instance's last call; until then it is asked for an
	// answer at once, since a call that waits tells too late that it is lost. Only Run uses it.
	trusted bool
	// turn counts the calls to other instances; only Run uses it.
	turn int
}

// New returns a follower, or an error that names what the configuration lacks.
func New(c Config) (*Follower, error) {
	if c.Store == nil || c.Peers == nil || c.Control == nil || c.Seeds == nil || c.Now == nil {
		return nil, errors.New("follower: store, peers, control, seeds and clock are needed")
	}
	return &Follower{config: c, suspects: make(map[relay.MemberName]time.Time)}, nil
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := storeRetry
	for {
		err := f.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			pause = storeRetry
			if !clock.Passed(ctx, f.rest()) {
				return nil
			}
			continue
		}
		if err := f.do(ctx, cmds.StoreAway{Cause: err.Error()}); err != nil {
			return err
		}
		if !clock.Passed(ctx, jitter(pause)) {
			return nil
		}
		pause = min(storeRetryMost, pause*2)
	}
}

// rest returns the pause after a call that was answered, which gathers further changes.
func (f *Follower) rest() time.Duration {
	if f.trusted {
		return settle
	}
	return peerSettle
}

// read takes in the next changes, or everything when there is nothing to start from.
func (f *Follower) read(ctx context.Context) error {
	s := f.config.Control.Snapshot()
	if s.Revision == 0 {
		return f.image(ctx)
	}
	if _, other := query.Reader(s, f.suspected); other && s.Away.IsZero() {
		f.turn++
		return f.readOther(ctx, s, query.Teller(s, f.turn, f.suspected))
	}
	wait := time.Duration(0)
	if f.trusted && s.Away.IsZero() {
		wait = watchWait
	}
	return f.changes(ctx, s, wait)
}

// changes takes in what the store itself tells.
func (f *Follower) changes(ctx context.Context, s relay.State, wait time.Duration) error {
	feed, err := f.config.Store.Changes(ctx, s.Revision, wait)
	f.trusted = err == nil
	if errors.Is(err, ErrForgotten) {
		return f.image(ctx)
	}
	if err != nil {
		return fmt.Errorf("follow the store: %w", err)
	}
	return f.learn(ctx, feed, "store", true)
}

// readOther takes in what another instance has read; one that doesn't answer, or can't reach
// the store, is passed over for a while.
func (f *Follower) readOther(ctx context.Context, s relay.State, m relay.Member) error {
	limited, cancel := context.WithTimeout(ctx, peerWait+peerTimeout)
	defer cancel()
	f.trusted = false
	feed, err := f.config.Peers.Since(limited, m.Address, Ask{Revision: s.Revision, Wait: peerWait})
	if err == nil && feed.TooMuch && !feed.Away {
		return f.changes(ctx, s, 0)
	}
	if err == nil && !feed.Away {
		return f.learn(ctx, feed, string(m.Name), false)
	}
	f.suspects[m.Name] = f.config.Now().Add(suspectFor)
	return nil
}

func (f *Follower) suspected(n relay.MemberName) bool {
	return f.config.Now().Before(f.suspects[n])
}

func (f *Follower) image(ctx context.Context) error {
	feed, err := f.config.Store.Image(ctx)
	f.trusted = err == nil
	if err != nil {
		return fmt.Errorf("read the store: %w", err)
	}
	return f.learn(ctx, feed, "store", true)
}

func (f *Follower) learn(ctx context.Context, feed relay.Feed, from string, direct bool) error {
	return f.do(ctx, cmds.Learn{Feed: feed, From: from, Direct: direct, Grace: f.config.Grace})
}

func (f *Follower) do(ctx context.Context, c loop.Command[relay.State, relay.Effect]) error {
	if err := f.config.Control.Do(ctx, c); err != nil && ctx.Err() == nil {
		return fmt.Errorf("change control state: %w", err)
	}
	return nil
}

// Tick drops what has outlived its grace, until the context ends.
func (f *Follower) Tick(ctx context.Context) error {
	for clock.Passed(ctx, tickEvery) {
		if f.config.Control.Snapshot().Missing() == 0 {
			continue
		}
		if err := f.do(ctx, cmds.Tick{}); err != nil {
			return err
		}
	}
	return nil
}

// RunPeers asks other instances for news while the store is out of reach, until the context ends.
func (f *Follower) RunPeers(ctx context.Context) error {
	for {
		s, changed := f.config.Control.Watch()
		if s.Away.IsZero() {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
			continue
		}
		address, ok := f.other(s)
		if !ok || !f.ask(ctx, address, s.Revision) {
			if !clock.Passed(ctx, jitter(peerPause)) {
				return nil
			}
		}
	}
}

// ask reports whether the instance answered.
func (f *Follower) ask(ctx context.Context, address string, revision int64) bool {
	limited, cancel := context.WithTimeout(ctx, peerWait+bulkTimeout)
	defer cancel()
	feed, err := f.config.Peers.Since(limited, address, Ask{Revision: revision, Wait: peerWait, Bulk: true})
	if err != nil {
		// Any instance may be gone; the next one is asked after a pause.
		return false
	}
	return f.learn(ctx, feed, address, false) == nil
}

// other returns another instance's address at random.
func (f *Follower) other(s relay.State) (string, bool) {
	var known []string
	for _, m := range s.Members() {
		if m.Name != s.Self.Name {
			known = append(known, m.Address)
		}
	}
	for _, seed := range f.config.Seeds() {
		if seed != s.Self.Address {
			known = append(known, seed)
		}
	}
	if len(known) == 0 {
		return "", false
	}
	return known[rand.IntN(len(known))], true
}

// jitter spreads the calls of instances that were all disturbed at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
