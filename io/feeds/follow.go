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
	// maxPeerSilence is the time without an answer of any other instance from which this one asks the store
	// itself, once it has not heard of an answer of the store for maxStoreSilence.
	maxPeerSilence  = time.Second
	maxStoreSilence = 2 * time.Second
	// peerCoalescePause is the pause between calls to other instances for the same purpose. It is shorter,
	// since several instances are asked in turn.
	peerCoalescePause = 100 * time.Millisecond
	// minStoreRetryPause is the first pause after a failed call; it doubles up to maxStoreRetryPause.
	minStoreRetryPause = 200 * time.Millisecond
	maxStoreRetryPause = time.Second
	// peerLongPoll is how long the own reader may hold a call that waits for changes, and crossCheckPoll how
	// long one of another failure domain may, which is asked in between.
	peerLongPoll   = 300 * time.Millisecond
	crossCheckPoll = 100 * time.Millisecond
	// takeoverPause is the pause between calls while successors of silent readers are about to ask the store.
	takeoverPause = 50 * time.Millisecond
	// peerTimeout is how long a call to another instance may take besides that wait.
	peerTimeout = 500 * time.Millisecond
	// bulkTimeout is the same for a call whose answer may be a full snapshot.
	bulkTimeout    = 3 * time.Second
	peerRetryPause = 200 * time.Millisecond
	tickInterval   = 500 * time.Millisecond
	// storeCallTime is how long a call to the store may take besides the wait for changes, and maxCallDelay
	// how much later its outcome may be seen. A still later one is that of an instance that was paused: it
	// says what held before the pause.
	storeCallTime = time.Second
	maxCallDelay  = time.Second
)

// Config holds the dependencies and settings of a Follower.
type Config struct {
	Store   Reader
	Peers   Peers
	Control Control
	// Reports are exchanged with the readers.
	Reports Reports
	// Seeds returns the addresses of other instances from the settings; they may be stale.
	Seeds func() []string
	// Grace is how long after an outage of the store the state keeps a server whose entry the store has
	// lost, since a live server writes its entry again.
	Grace time.Duration
	// ApplyWithin is how soon a change that the store has acknowledged must be in force here.
	ApplyWithin time.Duration
	Now         func() time.Time
}

// Follower keeps the control state up to date with the store.
type Follower struct {
	config Config
	// readers is what is known of the readers' health; only Run uses it.
	readers relay.ReaderHealth
	// storeConfirmed is set if the last call went to the store and was answered. Otherwise the next call
	// to the store doesn't wait for changes, because the loss of a waiting call would be detected too late.
	// Only Run uses it.
	storeConfirmed bool
	// peerCalls counts the calls to readers, which are asked in turn; only Run uses it.
	peerCalls int
}

// New returns a follower, or an error when the configuration is incomplete.
func New(c Config) (*Follower, error) {
	if c.Store == nil || c.Peers == nil || c.Control == nil || c.Reports == nil || c.Seeds == nil || c.Now == nil || c.ApplyWithin <= 0 {
		return nil, errors.New("follower: Store, Peers, Control, Reports, Seeds, ApplyWithin and Now are required")
	}
	return &Follower{config: c}, nil
}

// Run follows the store, directly or through readers, until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := minStoreRetryPause
	for {
		err := f.readNext(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			pause = minStoreRetryPause
			if !clock.WaitFully(ctx, f.pauseAfterRead()) {
				return nil
			}
			continue
		}
		if err := f.apply(ctx, cmds.StoreUnreachable{Cause: err.Error()}); err != nil {
			return err
		}
		if !clock.WaitFully(ctx, jitter(pause)) {
			return nil
		}
		pause = min(maxStoreRetryPause, pause*2)
	}
}

// pauseAfterRead returns the pause after a successful call, in which further changes accumulate.
func (f *Follower) pauseAfterRead() time.Duration {
	if f.storeConfirmed {
		return query.StoreCoalescePause
	}
	if f.isTakingOver() {
		return takeoverPause
	}
	return peerCoalescePause
}

// readNext applies the next changes, or a full snapshot while the state is empty.
func (f *Follower) readNext(ctx context.Context) error {
	s := f.config.Control.Snapshot()
	if s.Revision == 0 {
		return f.readFirst(ctx)
	}
	if f.isWithoutNews(s) {
		return f.readChanges(ctx, s, 0)
	}
	if _, hasOtherReader := query.Reader(s, f.isSuspected); hasOtherReader && s.StoreUnreachableSince.IsZero() {
		f.peerCalls++
		return f.readFromPeer(ctx, s, query.UpdateSource(s, f.peerCalls, f.isSuspected))
	}
	wait := time.Duration(0)
	if f.storeConfirmed && s.StoreUnreachableSince.IsZero() {
		wait = f.storeLongPoll()
	}
	return f.readChanges(ctx, s, wait)
}

// isWithoutNews reports whether neither other instances answer nor, as far as they have reported, the store
// does.
func (f *Follower) isWithoutNews(s relay.State) bool {
	now := f.config.Now()
	return s.StoreUnreachableSince.IsZero() && now.Sub(s.StoreAnsweredAt) > maxStoreSilence && now.Sub(s.AnswerReceivedAt) > maxPeerSilence
}

func (f *Follower) storeLongPoll() time.Duration {
	return query.StoreLongPoll(f.config.ApplyWithin)
}

// readChanges applies the changes that the store returns.
func (f *Follower) readChanges(ctx context.Context, s relay.State, wait time.Duration) error {
	start := f.config.Now()
	feed, err := f.config.Store.Changes(ctx, s.Revision, wait)
	f.storeConfirmed = err == nil && f.isTimely(start, wait+storeCallTime)
	if !f.isTimely(start, wait+storeCallTime) {
		return nil
	}
	if errors.Is(err, ErrHistoryDropped) {
		return f.readSnapshot(ctx)
	}
	if err != nil {
		return fmt.Errorf("follow the store: %w", err)
	}
	return f.applyFeed(ctx, feed, "store", true)
}

// readFromPeer applies the changes that another instance has read. An instance that fails, can't reach the
// store or seems to be cut off from it is suspected for a while; if it has too many changes to send, they are
// read from the store.
func (f *Follower) readFromPeer(ctx context.Context, s relay.State, peer relay.Member) error {
	wait := f.peerWait(s, peer)
	limited, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	f.storeConfirmed = false
	start := f.config.Now()
	feed, err := f.config.Peers.Since(limited, peer.Address, Ask{
		Revision: s.Revision, Wait: wait, Reports: f.config.Reports.FreshReports(), Use: f.config.Reports.OwnUse(),
	})
	if !f.isTimely(start, wait+peerTimeout) {
		return nil
	}
	now := f.config.Now()
	switch {
	case err != nil || feed.Away:
		f.readers = f.readers.WithSuspected(now, peer)
	case query.IsSilentReader(f.readers, peer, feed, f.storeLongPoll(), now):
		// An outage that reaches one reader may reach all of them, and a successor of a sound one has the
		// same changes.
		f.readers = f.readers.WithSuspected(now, append(query.Readers(s, f.isSuspected), peer)...)
	}
	if err != nil {
		return nil
	}
	f.config.Reports.MergeReports(feed.Reports)
	f.config.Reports.MergeUse(feed.Use)
	if feed.TooMuch && !feed.Away {
		return f.readChanges(ctx, s, 0)
	}
	return f.applyFeed(ctx, feed, string(peer.Name), false)
}

// peerWait returns how long the instance may hold a call.
func (f *Follower) peerWait(s relay.State, peer relay.Member) time.Duration {
	switch {
	case f.isTakingOver():
		return 0
	case peer.Domain != s.Self.Domain:
		return crossCheckPoll
	}
	return peerLongPoll
}

func (f *Follower) isTakingOver() bool {
	return f.readers.IsTakingOver(f.config.Control.Snapshot().Self.Domain, f.config.Now())
}

// isTimely reports whether the outcome of a call, which should take no longer than the limit, says what holds
// now. Neither an answer nor a failure that came later does.
func (f *Follower) isTimely(start time.Time, limit time.Duration) bool {
	return f.config.Now().Sub(start) <= limit+maxCallDelay
}

// isSuspected reports whether the instance is currently not to be asked.
func (f *Follower) isSuspected(name relay.MemberName) bool {
	return f.readers.IsSuspected(name, f.config.Now())
}

// readSnapshot applies a full snapshot of the store.
func (f *Follower) readSnapshot(ctx context.Context) error {
	read := f.readWhole(ctx)
	f.storeConfirmed = read.err == nil && read.isTimely
	if !read.isTimely {
		return nil
	}
	if read.err != nil {
		return fmt.Errorf("read the store: %w", read.err)
	}
	return f.applyFeed(ctx, read.feed, "store", true)
}

func (f *Follower) applyFeed(ctx context.Context, feed relay.Feed, source string, fromStore bool) error {
	return f.apply(ctx, cmds.ApplyFeed{Feed: feed, From: source, FromStore: fromStore, Grace: f.config.Grace})
}

func (f *Follower) apply(ctx context.Context, command loop.Command[relay.State, relay.Effect]) error {
	if err := f.config.Control.Do(ctx, command); err != nil && ctx.Err() == nil {
		return fmt.Errorf("change control state: %w", err)
	}
	return nil
}

// Tick removes the servers, and uses the outdated entries, whose grace period has ended, until the context ends.
func (f *Follower) Tick(ctx context.Context) error {
	for clock.WaitFully(ctx, tickInterval) {
		if s := f.config.Control.Snapshot(); s.MissingEntries() == 0 && s.OutdatedEntries() == 0 {
			continue
		}
		if err := f.apply(ctx, cmds.Tick{}); err != nil {
			return err
		}
	}
	return nil
}

// jitter returns a random pause from half to one and a half of d, so that instances that failed at the
// same moment don't retry at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
