package feeds_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/feeds"
)

// pausingStore is a store whose reader is paused once during a call: the outcome of the call, which is from
// before the pause, is seen after it.
type pausingStore struct {
	*fakeStore
	pause time.Duration
	// outcome is the error of the call during which the reader is paused.
	outcome error
	// woken is closed when the call has returned.
	woken chan struct{}
}

func (s *pausingStore) Changes(ctx context.Context, after int64, wait time.Duration) (relay.Feed, error) {
	if s.pause == 0 {
		return s.fakeStore.Changes(ctx, after, wait)
	}
	time.Sleep(s.pause)
	s.pause = 0
	close(s.woken)
	return relay.Feed{After: after, Revision: after}, s.outcome
}

// An instance that wakes finds the outcome of the call that it was paused in. It must not take it for news:
// an answer would confirm a state that is out of date, and a failure would keep that state in force.
func TestOutcomeFromBeforeAPauseConfirmsNothing(t *testing.T) {
	for name, outcome := range map[string]error{"answer": nil, "time-out": feeds.ErrStoreUnreachable} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, ctx context.Context, f *fleet) {
				s := &pausingStore{fakeStore: newFakeStore(), pause: 10 * time.Second, outcome: outcome, woken: make(chan struct{})}
				s.putConfig(1)
				i := f.start(ctx, member("a1", "a"), s)
				i.waitForVersion(ctx, 1)
				s.putConfig(2)
				<-s.woken
				assert.Assert(t, query.IsUnconfirmed(i.loop.Snapshot(), time.Now()), "as long as the instance knows version 1 only")
				i.waitForVersion(ctx, 2)
				assert.Assert(t, !query.IsUnconfirmed(i.loop.Snapshot(), time.Now()))
			})
		})
	}
}
