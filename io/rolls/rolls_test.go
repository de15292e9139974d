package rolls_test

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
	"endivehitch/io/feeds"
	"endivehitch/io/rolls"
)

// record is a stand-in of what the store keeps of one roll-out.
type record struct {
	mu       sync.Mutex
	control  *loop.Loop[relay.State, relay.Effect]
	revision int64
	leases   int64
	holder   int64
	token    int64
	progress int64
	written  []relay.Phase
	// lapse ends the lease of the holder unseen.
	lapse bool
	lost  int
}

func (r *record) Lease(context.Context, time.Duration) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases++
	return r.leases, nil
}

func (r *record) Keep(_ context.Context, lease int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapse && lease == r.holder {
		r.lapse, r.holder, r.token = false, 0, 0
		r.lost++
		return feeds.ErrLapsed
	}
	return nil
}

func (r *record) Release(_ context.Context, lease int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder == lease {
		r.holder, r.token = 0, 0
	}
	return nil
}

func (r *record) Register(context.Context, relay.Member, int64) error { return nil }

func (r *record) TakeDuty(_ context.Context, _ relay.Duty, lease int64) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != 0 {
		return 0, feeds.ErrConflict
	}
	r.revision++
	r.holder, r.token = lease, r.revision
	return r.token, nil
}

func (r *record) Write(ctx context.Context, p relay.Progress, duty, revision int64) error {
	r.mu.Lock()
	if duty != r.token || revision != r.progress {
		r.mu.Unlock()
		return feeds.ErrConflict
	}
	r.revision++
	before := r.control.Snapshot().Revision
	r.progress = r.revision
	r.written = append(r.written, p.Phase)
	r.mu.Unlock()
	return r.control.Do(ctx, cmds.Learn{Feed: relay.Feed{After: before, Revision: r.progress, Changes: []relay.Change{
		{Key: "progress", Revision: r.progress, Entry: relay.Entry{Progress: &p}},
	}}})
}

func (r *record) phases() []relay.Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]relay.Phase(nil), r.written...)
}

// told is what another instance answers.
type told func() []relay.Tally

func (f told) Tallies(context.Context, string) ([]relay.Tally, error) { return f(), nil }

const within = 20 * time.Second

// play runs the duty of an instance that sees nothing itself, beside one that answers as given.
func play(t *testing.T, others told, test func(ctx context.Context, r *record)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := relay.Feed{Whole: true, Revision: 100}
		for i, e := range []relay.Entry{
			{Server: &relay.Server{ID: "a", Service: "app", Release: "v1"}},
			{Server: &relay.Server{ID: "b", Service: "app", Release: "v2"}},
			{Member: &relay.Member{Name: "me", Address: "me"}},
			{Member: &relay.Member{Name: "other", Address: "other"}},
			{RollOut: &relay.RollOut{Service: "app", Target: "v2", Within: within}},
		} {
			f.Changes = append(f.Changes, relay.Change{Key: string(rune('a' + i)), Revision: int64(i + 1), Entry: e})
		}
		s := relay.New(relay.Member{Name: "me", Address: "me"}).WithFeed(f, time.Now(), 0)
		control, err := loop.New(loop.Config[relay.State, relay.Effect]{Initial: s, Now: time.Now, Mailbox: 4})
		assert.NilError(t, err)
		r := &record{control: control, revision: 100}
		go control.Run(ctx)
		go func() {
			for range control.Effects() {
				continue
			}
		}()
		runner := rolls.Runner{
			Store: r, Peers: others, Control: control, Now: time.Now, Failed: func(error) {},
			Own: func() []relay.Tally { return nil }, Judged: func(relay.Progress, string) {},
		}
		go func() { assert.Check(t, runner.Run(ctx)) }()
		test(ctx, r)
		cancel()
		synctest.Wait()
	})
}

func tallies(failed int) told {
	return func() []relay.Tally {
		return []relay.Tally{{Service: "app", Release: "v1", Runs: 500}, {Service: "app", Release: "v2", Runs: 60, Failed: failed}}
	}
}

func TestAGoodReleaseIsCompletedInTime(t *testing.T) {
	play(t, tallies(0), func(_ context.Context, r *record) {
		time.Sleep(within)
		assert.DeepEqual(t, r.phases(), []relay.Phase{relay.PhaseUnderWay, relay.PhaseCompleted})
	})
}

func TestABadReleaseIsRevertedSoonAndForGood(t *testing.T) {
	play(t, tallies(30), func(_ context.Context, r *record) {
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, r.phases(), []relay.Phase{relay.PhaseReverted})
		time.Sleep(2 * within)
		assert.Equal(t, len(r.phases()), 1)
	})
}

func TestAReleaseThatTurnsBadLateIsReverted(t *testing.T) {
	bad := 0
	var mu sync.Mutex
	others := func() []relay.Tally {
		mu.Lock()
		defer mu.Unlock()
		return tallies(bad)()
	}
	play(t, others, func(_ context.Context, r *record) {
		time.Sleep(within / 2)
		mu.Lock()
		bad = 30
		mu.Unlock()
		time.Sleep(time.Second)
		assert.DeepEqual(t, r.phases(), []relay.Phase{relay.PhaseUnderWay, relay.PhaseReverted})
	})
}

func TestARollOutThatEndedMeanwhileIsNotTakenUp(t *testing.T) {
	play(t, tallies(0), func(ctx context.Context, r *record) {
		// Another instance, whose turn comes sooner, ends the roll-out before this one's turn.
		r.mu.Lock()
		before := r.control.Snapshot().Revision
		r.revision++
		p, revision := relay.Progress{Service: "app", Target: "v2", Phase: relay.PhaseReverted}, r.revision
		r.mu.Unlock()
		assert.NilError(t, r.control.Do(ctx, cmds.Learn{Feed: relay.Feed{After: before, Revision: revision, Changes: []relay.Change{
			{Key: "progress", Revision: revision, Entry: relay.Entry{Progress: &p}},
		}}}))
		time.Sleep(within)
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Equal(t, r.leases, int64(0), "the duty was taken for nothing")
	})
}

func TestADutyThatLapsedIsTakenAgain(t *testing.T) {
	play(t, tallies(0), func(_ context.Context, r *record) {
		time.Sleep(3 * time.Second)
		r.mu.Lock()
		r.lapse = true
		r.mu.Unlock()
		time.Sleep(within)
		r.mu.Lock()
		lost := r.lost
		r.mu.Unlock()
		assert.Equal(t, lost, 1)
		assert.DeepEqual(t, r.phases(), []relay.Phase{relay.PhaseUnderWay, relay.PhaseCompleted})
	})
}
