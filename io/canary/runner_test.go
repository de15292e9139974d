package canary_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/loop"
	"endivehitch/core/relay"
	"endivehitch/core/relay/cmds"
	"endivehitch/io/canary"
	"endivehitch/io/feeds"
)

// fakeStore holds the duty and the progress of one roll-out in memory.
type fakeStore struct {
	mu       sync.Mutex
	control  *loop.Loop[relay.State, relay.Effect]
	revision int64
	leases   int64
	holder   int64
	token    int64
	progress int64
	recorded []relay.Phase
	// expireLease makes the holder's next renewal fail.
	expireLease   bool
	expiredLeases int
}

func (s *fakeStore) Acquire(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, nil
}

func (s *fakeStore) Renew(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expireLease && lease == s.holder {
		s.expireLease, s.holder, s.token = false, 0, 0
		s.expiredLeases++
		return feeds.ErrLeaseExpired
	}
	return nil
}

func (s *fakeStore) Release(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == lease {
		s.holder, s.token = 0, 0
	}
	return nil
}

func (s *fakeStore) Register(context.Context, relay.Member, int64) (int64, error) { return 1, nil }

func (s *fakeStore) TakeDuty(_ context.Context, _ relay.Duty, lease int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != 0 {
		return 0, feeds.ErrConflict
	}
	s.revision++
	s.holder, s.token = lease, s.revision
	return s.token, nil
}

func (s *fakeStore) WriteProgress(ctx context.Context, p relay.Progress, dutyToken, revision int64) error {
	s.mu.Lock()
	if dutyToken != s.token || revision != s.progress {
		s.mu.Unlock()
		return feeds.ErrConflict
	}
	s.revision++
	before := s.control.Snapshot().Revision
	s.progress = s.revision
	s.recorded = append(s.recorded, p.Phase)
	s.mu.Unlock()
	return s.control.Do(ctx, cmds.ApplyFeed{Feed: relay.Feed{After: before, Revision: s.progress, Changes: []relay.Change{
		{Key: "progress", Revision: s.progress, Entry: relay.Entry{Progress: &p}},
	}}})
}

func (s *fakeStore) recordedPhases() []relay.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]relay.Phase(nil), s.recorded...)
}

// peerTallies returns the tallies of the other instance.
type peerTallies func() []relay.Tally

func (f peerTallies) Tallies(context.Context, string) ([]relay.Tally, error) { return f(), nil }

const rollOutTime = 20 * time.Second

// runDuty runs a Runner without tallies of its own beside one other instance with the given tallies, on a
// fake clock.
func runDuty(t *testing.T, peers peerTallies, test func(ctx context.Context, store *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := relay.Feed{Whole: true, Revision: 100}
		for i, e := range []relay.Entry{
			{Server: &relay.Server{ID: "a", Service: "app", Release: "v1"}},
			{Server: &relay.Server{ID: "b", Service: "app", Release: "v2"}},
			{Member: &relay.Member{Name: "me", Address: "me"}},
			{Member: &relay.Member{Name: "other", Address: "other"}},
			{RollOut: &relay.RollOut{Service: "app", Target: "v2", Within: rollOutTime}},
		} {
			f.Changes = append(f.Changes, relay.Change{Key: string(rune('a' + i)), Revision: int64(i + 1), Entry: e})
		}
		s := relay.New(relay.Member{Name: "me", Address: "me"}).WithFeed(f, time.Now(), 0)
		control, err := loop.New(loop.Config[relay.State, relay.Effect]{Initial: s, Now: time.Now, Mailbox: 4})
		assert.NilError(t, err)
		store := &fakeStore{control: control, revision: 100}
		go control.Run(ctx)
		go func() {
			for range control.Effects() {
				continue
			}
		}()
		runner := canary.Runner{
			Store: store, Peers: peers, Control: control, Now: time.Now, OnError: func(error) {},
			OwnTallies: func() []relay.Tally { return nil }, OnPhaseChange: func(relay.Progress, string) {},
		}
		go func() { assert.Check(t, runner.Run(ctx)) }()
		test(ctx, store)
		cancel()
		synctest.Wait()
	})
}

func talliesWithFailures(failed int) peerTallies {
	return func() []relay.Tally {
		return []relay.Tally{{Service: "app", Release: "v1", Runs: 500}, {Service: "app", Release: "v2", Runs: 60, Failed: failed}}
	}
}

func TestGoodReleaseIsCompletedWithinItsTime(t *testing.T) {
	runDuty(t, talliesWithFailures(0), func(_ context.Context, store *fakeStore) {
		time.Sleep(rollOutTime)
		assert.DeepEqual(t, store.recordedPhases(), []relay.Phase{relay.PhaseUnderWay, relay.PhaseCompleted})
	})
}

func TestBadReleaseIsRevertedOnceWithinTwoSeconds(t *testing.T) {
	runDuty(t, talliesWithFailures(30), func(_ context.Context, store *fakeStore) {
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, store.recordedPhases(), []relay.Phase{relay.PhaseReverted})
		time.Sleep(2 * rollOutTime)
		assert.Equal(t, len(store.recordedPhases()), 1)
	})
}

func TestReleaseThatFailsLateInItsRollOutIsReverted(t *testing.T) {
	failures := 0
	var mu sync.Mutex
	peers := func() []relay.Tally {
		mu.Lock()
		defer mu.Unlock()
		return talliesWithFailures(failures)()
	}
	runDuty(t, peers, func(_ context.Context, store *fakeStore) {
		time.Sleep(rollOutTime / 2)
		mu.Lock()
		failures = 30
		mu.Unlock()
		time.Sleep(time.Second)
		assert.DeepEqual(t, store.recordedPhases(), []relay.Phase{relay.PhaseUnderWay, relay.PhaseReverted})
	})
}

func TestDutyIsNotTakenForRollOutThatEndedMeanwhile(t *testing.T) {
	runDuty(t, talliesWithFailures(0), func(ctx context.Context, store *fakeStore) {
		// Another instance, whose turn is earlier, ends the roll-out before this one's turn.
		store.mu.Lock()
		before := store.control.Snapshot().Revision
		store.revision++
		p, revision := relay.Progress{Service: "app", Target: "v2", Phase: relay.PhaseReverted}, store.revision
		store.mu.Unlock()
		assert.NilError(t, store.control.Do(ctx, cmds.ApplyFeed{Feed: relay.Feed{After: before, Revision: revision, Changes: []relay.Change{
			{Key: "progress", Revision: revision, Entry: relay.Entry{Progress: &p}},
		}}}))
		time.Sleep(rollOutTime)
		store.mu.Lock()
		defer store.mu.Unlock()
		assert.Equal(t, store.leases, int64(0), "no lease must be taken for a roll-out that has ended")
	})
}

func TestDutyIsTakenAgainAfterItsLeaseExpired(t *testing.T) {
	runDuty(t, talliesWithFailures(0), func(_ context.Context, store *fakeStore) {
		time.Sleep(3 * time.Second)
		store.mu.Lock()
		store.expireLease = true
		store.mu.Unlock()
		time.Sleep(rollOutTime)
		store.mu.Lock()
		expired := store.expiredLeases
		store.mu.Unlock()
		assert.Equal(t, expired, 1)
		assert.DeepEqual(t, store.recordedPhases(), []relay.Phase{relay.PhaseUnderWay, relay.PhaseCompleted})
	})
}

// A holder may be paused between the moment at which it has the tallies of the others and its decision, and its
// lease may lapse meanwhile. The decision must not be recorded: another instance holds the duty by then.
func TestDecisionOfAPausedHolderIsNotRecorded(t *testing.T) {
	asked := make(chan struct{}, 1)
	peers := func() []relay.Tally {
		select {
		case asked <- struct{}{}:
			time.Sleep(5 * time.Second)
		default:
		}
		return talliesWithFailures(30)()
	}
	runDuty(t, peers, func(_ context.Context, store *fakeStore) {
		time.Sleep(2 * time.Second)
		store.mu.Lock()
		store.holder, store.token = -1, -1
		store.mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(store.recordedPhases()), 0)
	})
}

// The duty of one roll-out may be held by another instance while that of a second one is vacant.
func TestVacantDutyIsTakenBesideOneThatIsHeld(t *testing.T) {
	for range 20 {
		runDuty(t, talliesWithFailures(0), func(ctx context.Context, store *fakeStore) {
			time.Sleep(rollOutTime)
			assert.Equal(t, len(store.recordedPhases()), 2)
			store.mu.Lock()
			before := store.control.Snapshot().Revision
			store.revision++
			revision := store.revision
			store.mu.Unlock()
			assert.NilError(t, store.control.Do(ctx, cmds.ApplyFeed{Feed: relay.Feed{After: before, Revision: revision, Changes: []relay.Change{
				{Key: "held", Revision: revision, Entry: relay.Entry{Duty: &relay.Duty{Service: "aaa", Holder: "other"}}},
				{Key: "held-order", Revision: revision, Entry: relay.Entry{RollOut: &relay.RollOut{Service: "aaa", Target: "v2", Within: rollOutTime}}},
				{Key: "e", Revision: revision, Entry: relay.Entry{RollOut: &relay.RollOut{Service: "app", Target: "v2", Within: rollOutTime}}},
			}}}))
			time.Sleep(rollOutTime)
			assert.Equal(t, len(store.recordedPhases()), 4, "the second roll-out must be judged too")
		})
	}
}
