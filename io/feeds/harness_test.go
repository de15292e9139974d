package feeds_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/loop"
	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
	"endivehitch/io/feeds"
)

// fakeStore is an in-memory metadata store with one sequence of changes.
type fakeStore struct {
	mu          sync.Mutex
	changes     []relay.Change
	revision    int64
	compactedTo int64
	changed     chan struct{}
	// hanging delays calls until they time out, unreachable makes them fail, and stalledWatch makes calls
	// that wait return no changes.
	hanging, unreachable, stalledWatch bool
	snapshotReads, changeReads         int
}

func newFakeStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{}), revision: 1}
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// setHanging lets calls hang from now on, those that wait already too.
func (s *fakeStore) setHanging() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = true
}

func (s *fakeStore) putEntry(key string, e relay.Entry) {
	s.update(func() {
		s.revision++
		s.changes = append(s.changes, relay.Change{Key: key, Revision: s.revision, Entry: e})
	})
}

func (s *fakeStore) putConfig(version int64) {
	s.putEntry("config", relay.Entry{Config: &relay.Config{Version: version}})
}

func (s *fakeStore) putServer(id relay.ServerID) {
	s.putEntry(string(id), relay.Entry{Server: &relay.Server{ID: id, Service: "app"}})
}

func (s *fakeStore) removeKey(key string) {
	s.update(func() {
		s.revision++
		s.changes = append(s.changes, relay.Change{Key: key, Revision: s.revision, Gone: true})
	})
}

// simulateOutage fails while the store is hanging or unreachable; a hanging call takes as long as a real
// client's time-out.
func (s *fakeStore) simulateOutage(ctx context.Context) error {
	s.mu.Lock()
	hanging, unreachable := s.hanging, s.unreachable
	s.mu.Unlock()
	if hanging {
		if err := clock.Wait(ctx, time.Second); err != nil {
			return err
		}
		return feeds.ErrStoreUnreachable
	}
	if unreachable {
		return feeds.ErrStoreUnreachable
	}
	return nil
}

func (s *fakeStore) Snapshot(ctx context.Context) (relay.Feed, error) {
	if err := s.simulateOutage(ctx); err != nil {
		return relay.Feed{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotReads++
	last := make(map[string]relay.Change)
	for _, c := range s.changes {
		last[c.Key] = c
	}
	f := relay.Feed{Whole: true, Revision: s.revision}
	for _, c := range last {
		if !c.Gone {
			f.Changes = append(f.Changes, c)
		}
	}
	return f, nil
}

func (s *fakeStore) Changes(ctx context.Context, after int64, wait time.Duration) (relay.Feed, error) {
	s.mu.Lock()
	s.changeReads++
	s.mu.Unlock()
	deadline := time.Now().Add(wait)
	for {
		if err := s.simulateOutage(ctx); err != nil {
			return relay.Feed{}, err
		}
		s.mu.Lock()
		changed, stalled := s.changed, s.stalledWatch && wait > 0
		f := relay.Feed{After: after, Revision: s.revision}
		for _, c := range s.changes {
			if c.Revision > after {
				f.Changes = append(f.Changes, c)
			}
		}
		compacted := after < s.compactedTo
		s.mu.Unlock()
		if compacted {
			return relay.Feed{}, feeds.ErrHistoryDropped
		}
		left := time.Until(deadline)
		if stalled {
			f = relay.Feed{After: after, Revision: after}
		}
		if (len(f.Changes) > 0 && !stalled) || left <= 0 {
			return f, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return relay.Feed{}, ctx.Err()
		}
		timer.Stop()
	}
}

// fleet is a set of instances that serve one another's Since calls in memory.
type fleet struct {
	t *testing.T
	// largeAnswers counts the answers between instances that held more than 128 changes or a snapshot.
	largeAnswers atomic.Int64
	// applyWithin is the limit that the instances are started with.
	applyWithin time.Duration
	// seeds are the addresses in the settings of each instance.
	seeds     []string
	mu        sync.Mutex
	instances map[string]*instance
}

type instance struct {
	loop *loop.Loop[relay.State, relay.Effect]
}

// Since has the instance at the address answer the request.
func (f *fleet) Since(ctx context.Context, address string, request feeds.Ask) (relay.Feed, error) {
	f.mu.Lock()
	i, ok := f.instances[address]
	f.mu.Unlock()
	if !ok {
		return relay.Feed{}, feeds.ErrStoreUnreachable
	}
	answer := make(chan relay.Feed, 1)
	go func() {
		answer <- feeds.Methods{Control: i.loop, Records: noRecords{}, Now: time.Now}.Since(request)
	}()
	select {
	case feed := <-answer:
		if feed.Whole || len(feed.Changes) > 128 {
			f.largeAnswers.Add(1)
		}
		return feed, nil
	case <-ctx.Done():
		return relay.Feed{}, ctx.Err()
	}
}

// runLoop runs the control loop of an instance until the context ends.
func runLoop(ctx context.Context, t *testing.T, self relay.Member) *loop.Loop[relay.State, relay.Effect] {
	t.Helper()
	l, err := loop.New(loop.Config[relay.State, relay.Effect]{Initial: relay.New(self), Now: time.Now, Mailbox: 8})
	assert.NilError(t, err)
	go l.Run(ctx)
	go func() {
		for range l.Effects() {
			continue
		}
	}()
	return l
}

const graceTime = 2200 * time.Millisecond

// start starts an instance with the store.
func (f *fleet) start(ctx context.Context, self relay.Member, s feeds.Reader) *instance {
	f.t.Helper()
	l := runLoop(ctx, f.t, self)
	i := &instance{loop: l}
	f.mu.Lock()
	f.instances[self.Address] = i
	f.mu.Unlock()
	follower, err := feeds.New(feeds.Config{
		Seeds: func() []string { return f.seeds }, Store: s, Peers: f, Control: l, Grace: graceTime, ApplyWithin: f.applyWithin, Now: time.Now, Reports: noRecords{},
	})
	assert.NilError(f.t, err)
	for _, run := range []func(context.Context) error{follower.Run, follower.RunPeers, follower.Tick} {
		go func() { assert.Check(f.t, run(ctx)) }()
	}
	return i
}

// startWithTwoStores starts the members with stores that hold the same entries and configuration version 1. The
// members for which the function is true use the second store, which the test can break, and all others the
// first; the function is told whether the member is a reader. It returns both stores and the instances that
// are no readers and use the first store.
func (f *fleet) startWithTwoStores(ctx context.Context, members []relay.Member, usesSecond func(m relay.Member, isReader bool) bool) (first, second *fakeStore, followers []*instance) {
	f.t.Helper()
	first, second = newFakeStore(), newFakeStore()
	for _, each := range []*fakeStore{first, second} {
		for _, m := range members {
			each.putEntry(string(m.Name), relay.Entry{Member: &m})
		}
		each.putConfig(1)
	}
	snapshot, err := first.Snapshot(ctx)
	assert.NilError(f.t, err)
	for _, m := range members {
		own := relay.New(m).WithFeed(snapshot, time.Now(), 0)
		_, isFollower := query.Reader(own, func(relay.MemberName) bool { return false })
		readFrom, isSecond := first, usesSecond(m, !isFollower)
		if isSecond {
			readFrom = second
		}
		i := f.start(ctx, m, readFrom)
		i.waitForVersion(ctx, 1)
		if isFollower && !isSecond {
			followers = append(followers, i)
		}
	}
	return first, second, followers
}

// noRecords stands for an instance without traffic.
type noRecords struct{ feeds.Records }

func (noRecords) FreshReports() []relay.ServerReport { return nil }

func (noRecords) MergeReports([]relay.ServerReport) {}

func (noRecords) OwnUse() relay.UseReport { return relay.UseReport{} }

func (noRecords) FleetUse() relay.UseReport { return relay.UseReport{} }

func (noRecords) MergeUse(relay.UseReport) {}

// member returns an instance of the failure domain, whose address is its name.
func member(name, domain string) relay.Member {
	return relay.Member{Name: relay.MemberName(name), Domain: relay.FailureDomain(domain), Address: name}
}

// maxWait bounds each wait of a test, so that a failing one ends.
const maxWait = time.Minute

// waitForVersion waits until the instance has the configuration version, and returns the time it took, at
// most maxWait.
func (i *instance) waitForVersion(ctx context.Context, version int64) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	began := time.Now()
	for {
		s, changed := i.loop.Watch()
		if s.Config.Version >= version {
			return time.Since(began)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Since(began)
		}
	}
}
