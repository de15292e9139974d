package feeds_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
	"endivehitch/io/feeds"
)

// maxStartTime is the time within which requests are admitted after the first answer that the store could give.
const maxStartTime = 500 * time.Millisecond

// startStore is a store that answers from a moment on, and records the calls to it.
type startStore struct {
	*fakeStore
	// opensAt is when the store answers again; before it, calls fail at once, or get no answer if it is silent.
	opensAt time.Time
	silent  bool
	// silentConns is how many of the first calls get no answer at all.
	silentConns int

	mu    sync.Mutex
	calls []time.Time
}

func (s *startStore) Snapshot(ctx context.Context) (relay.Feed, error) {
	const answerTime, callTimeout = 4 * time.Millisecond, time.Second
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	isSilent := s.silentConns > 0 || (s.silent && time.Now().Before(s.opensAt))
	s.silentConns--
	s.mu.Unlock()
	if isSilent {
		_ = clock.Wait(ctx, callTimeout)
		return relay.Feed{}, feeds.ErrStoreUnreachable
	}
	if time.Now().Before(s.opensAt) {
		return relay.Feed{}, feeds.ErrStoreUnreachable
	}
	if err := clock.Wait(ctx, answerTime); err != nil {
		return relay.Feed{}, err
	}
	return s.fakeStore.Snapshot(ctx)
}

// busiestSecond returns the most calls in any second.
func (s *startStore) busiestSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.calls, time.Time.Compare)
	most, first := 0, 0
	for last, at := range s.calls {
		for at.Sub(s.calls[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// awaitAdmitted waits until the instance admits a request.
func (i *instance) awaitAdmitted(ctx context.Context) {
	for {
		s, changed := i.loop.Watch()
		if _, err := query.Admit(s, relay.Request{Host: "h", Path: "/", Arrived: time.Now()}); err == nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func newStartStore() *startStore {
	s := &startStore{fakeStore: newFakeStore()}
	s.putEntry("config", relay.Entry{Config: &relay.Config{Version: 1, Routes: []relay.Route{{Name: "r", Host: "h", Prefix: "/"}}}})
	return s
}

// Guards against a start that waits for a connection which stays silent until the call is given up.
func TestSilentConnectionDoesNotDelayTheStart(t *testing.T) {
	for silentConns := 1; silentConns <= 2; silentConns++ {
		runFleet(t, func(t *testing.T, ctx context.Context, f *fleet) {
			s := newStartStore()
			s.silentConns = silentConns
			began := time.Now()
			f.start(ctx, member("a", "d"), s).awaitAdmitted(ctx)
			assert.Assert(t, time.Since(began) < maxStartTime, "%d silent connections: took %v", silentConns, time.Since(began))
			assert.Assert(t, len(s.calls) <= silentConns+1, "%d calls", len(s.calls))
		})
	}
}

// Guards against a fleet that lost power while the store was away, and that floods the store when it returns or
// serves late.
func TestFleetServesSoonAfterTheStoreReturns(t *testing.T) {
	const (
		instances  = 200
		startTime  = 300 * time.Millisecond
		storeReads = 6000
	)
	for name, c := range map[string]struct {
		down   time.Duration
		silent bool
	}{
		"store is up":                {},
		"store is silent for 0.9 s":  {900 * time.Millisecond, true},
		"store is silent for 4.45 s": {4450 * time.Millisecond, true},
		"store is down for 4.45 s":   {4450 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, ctx context.Context, f *fleet) {
				s := newStartStore()
				s.opensAt, s.silent = time.Now().Add(c.down), c.silent
				for n := range instances {
					f.seeds = append(f.seeds, fmt.Sprint("n", n))
				}
				began := time.Now()
				var all sync.WaitGroup
				for n := range instances {
					all.Go(func() {
						time.Sleep(rand.N(startTime))
						f.start(ctx, member(fmt.Sprint("n", n), fmt.Sprint("d", n%4)), s).awaitAdmitted(ctx)
					})
				}
				all.Wait()
				took := time.Since(began) - max(c.down, startTime)
				assert.Assert(t, took < maxStartTime, "the last instance served after %v", took)
				busiest := s.busiestSecond()
				assert.Assert(t, busiest < storeReads/2, "%d reads in a second", busiest)
				t.Logf("all served after %v; at most %d reads in a second, %d in all", took, busiest, len(s.calls))
			})
		})
	}
}

// Guards against a start that waits for the store although another instance has a state.
func TestStartingInstanceTakesTheStateOfOthers(t *testing.T) {
	runFleet(t, func(t *testing.T, ctx context.Context, f *fleet) {
		f.seeds = []string{"a", "b"}
		f.start(ctx, member("a", "d"), newStartStore()).awaitAdmitted(ctx)
		lost := newStartStore()
		lost.opensAt, lost.silent = time.Now().Add(time.Hour), true
		began := time.Now()
		i := f.start(ctx, member("b", "d"), lost)
		i.awaitAdmitted(ctx)
		assert.Assert(t, time.Since(began) < maxStartTime, "took %v", time.Since(began))
		assert.Assert(t, !i.loop.Snapshot().Startup.OthersServeAt.IsZero())
	})
}

// pausedStart is a store whose first full snapshot is seen after a pause of its reader.
type pausedStart struct {
	*fakeStore
	paused atomic.Bool
}

func (s *pausedStart) Snapshot(ctx context.Context) (relay.Feed, error) {
	feed, err := s.fakeStore.Snapshot(ctx)
	if !s.paused.Swap(true) {
		time.Sleep(time.Minute)
	}
	return feed, err
}

// Guards against an instance that is paused while it reads its first state, and serves what was withdrawn since.
func TestSnapshotFromBeforeAPauseIsReadAgain(t *testing.T) {
	runFleet(t, func(t *testing.T, ctx context.Context, f *fleet) {
		s := &pausedStart{fakeStore: newFakeStore()}
		s.putConfig(1)
		// The pause holds up the whole instance, so that no other read is sent meanwhile.
		time.AfterFunc(10*time.Millisecond, func() { s.setHanging() })
		time.AfterFunc(time.Minute, func() {
			s.putConfig(2)
			s.update(func() { s.hanging = false })
		})
		i := f.start(ctx, member("a", "d"), s)
		for {
			state, changed := i.loop.Watch()
			assert.Assert(t, state.Config.Version != 1, "version 1 had been replaced")
			if state.Config.Version == 2 {
				return
			}
			<-changed
		}
	})
}
