package feeds

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cmds"
	"endivehitch/core/relay/start"
	"endivehitch/io/clock"
)

const (
	// startPolls is how many other instances a starting one asks at the same time. With three, a state reaches
	// nearly all instances as soon as one has it, as each of them waits at three others.
	startPolls = 3
	// storeHeadStart is how long the state is left to the store, whose link is wider, before it is fetched from
	// another instance.
	storeHeadStart = 100 * time.Millisecond
	// startPollPause is the pause between such calls.
	startPollPause = 100 * time.Millisecond
	// snapshotTime is how long the reading of a full snapshot may take: several pages at a slow store.
	snapshotTime = 2 * time.Second
)

// fleetSize returns the number of instances that may start at the same moment, as far as this one knows.
func fleetSize(s relay.State, seeds []string) int {
	return max(len(s.Members()), len(seeds)+1)
}

func (f *Follower) schedule() start.Schedule {
	return start.Schedule{Fleet: fleetSize(f.config.Control.Snapshot(), f.config.Seeds())}
}

// snapshotRead is the outcome of one read of the full snapshot.
type snapshotRead struct {
	feed relay.Feed
	err  error
	// isTimely is set if the outcome says what holds now.
	isTimely bool
}

// readFirst reads the store until the instance has a state. While a read has no answer, others are sent after
// growing pauses, each on a connection of its own, as a connection may stay silent. It ends sooner when another
// instance has sent a state.
func (f *Follower) readFirst(ctx context.Context) error {
	if err := f.apply(ctx, cmds.BeginStartup{}); err != nil {
		return err
	}
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan snapshotRead, start.MaxReads)
	next := time.NewTimer(f.schedule().FirstRead(rand.Float64()))
	defer next.Stop()
	for sent, underWay := 0, 0; ; {
		state, changed := f.config.Control.Watch()
		if state.Revision > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-next.C:
			if underWay < start.MaxReads {
				sent++
				underWay++
				go func() { outcomes <- f.readWhole(reading) }()
			}
			next.Reset(f.schedule().NextRead(sent, rand.Float64()))
		case outcome := <-outcomes:
			underWay--
			if err := f.takeFirstRead(ctx, outcome); err != nil {
				return err
			}
		}
	}
}

func (f *Follower) readWhole(ctx context.Context) snapshotRead {
	began := f.config.Now()
	feed, err := f.config.Store.Snapshot(ctx)
	return snapshotRead{feed: feed, err: err, isTimely: f.isTimely(began, snapshotTime)}
}

// takeFirstRead applies the outcome of a first read.
func (f *Follower) takeFirstRead(ctx context.Context, outcome snapshotRead) error {
	if !outcome.isTimely {
		return nil
	}
	if outcome.err != nil {
		return f.apply(ctx, cmds.StoreUnreachable{Cause: outcome.err.Error()})
	}
	f.storeConfirmed = true
	return f.applyFeed(ctx, outcome.feed, "store", true)
}

// pullFirst asks other instances for a state until this one has one or the context ends.
func (f *Follower) pullFirst(ctx context.Context) error {
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(asking)
	for range startPolls {
		group.Go(func() error { return f.pollFirst(groupCtx) })
	}
	group.Go(func() error {
		defer cancel()
		return f.awaitState(groupCtx)
	})
	return group.Wait()
}

// awaitState returns when the instance has a state or the context ends.
func (f *Follower) awaitState(ctx context.Context) error {
	for {
		state, changed := f.config.Control.Watch()
		if state.Revision > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// pollFirst asks randomly chosen instances in turn whether they have a state, and fetches it from one that has,
// until the context ends. The first call doesn't wait, so that callers soon hear whether others serve; later
// ones wait at the other instance until it has a state.
func (f *Follower) pollFirst(ctx context.Context) error {
	for wait := time.Duration(0); ctx.Err() == nil; wait = peerLongPoll {
		state := f.config.Control.Snapshot()
		address, ok := f.randomPeer(state)
		if ok && f.hasState(ctx, address, wait) {
			if err := f.apply(ctx, cmds.OtherServes{}); err != nil {
				return err
			}
			headStart := storeHeadStart - f.config.Now().Sub(state.Startup.Since)
			if state.Startup.Since.IsZero() {
				headStart = storeHeadStart
			}
			if !clock.WaitFully(ctx, headStart) || f.pullFromPeer(ctx, address, 0) {
				continue
			}
		}
		clock.WaitFully(ctx, jitter(startPollPause))
	}
	return nil
}

// hasState reports whether the instance at the address says that it has a state that holds. The answer doesn't
// contain that state, as several instances are asked at once.
func (f *Follower) hasState(ctx context.Context, address string, wait time.Duration) bool {
	limited, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	began := f.config.Now()
	feed, err := f.config.Peers.Since(limited, address, Ask{Wait: wait})
	return err == nil && (feed.TooMuch || feed.Revision > 0) && feed.IsCurrent() && f.isTimely(began, wait+peerTimeout)
}
