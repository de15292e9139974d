package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

// sendTimes counts the requests that servers received, by time.
type sendTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (s *sendTimes) add() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, time.Now())
}

// most returns the most requests of any period of the length.
func (s *sendTimes) most(length time.Duration) int {
	most := 0
	for i, first := range s.times {
		n := 0
		for _, at := range s.times[i:] {
			if at.Sub(first) < length {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// limitedFleet is a fleet before one server that takes 5 requests a second.
type limitedFleet struct {
	*fleet
	t        *testing.T
	sent     sendTimes
	refusals sync.Map
}

const (
	testLimit    = 5.0
	limitWindow  = 4 * time.Second
	requestPause = 100 * time.Millisecond
)

func newLimitedFleet(t *testing.T, size int) *limitedFleet {
	f := &limitedFleet{fleet: newFleet(t, size), t: t}
	limited := answerWith(answer{Status: 200, Signed: true, Stream: true, Backpressure: relay.Backpressure{Limit: testLimit, HasLimit: true}}, firstEvent, io.EOF)
	f.backend.answers = []func(context.Context, attempt) (*answer, error){func(ctx context.Context, sent attempt) (*answer, error) {
		f.sent.add()
		return limited(ctx, sent)
	}}
	return f
}

// send sends requests through the instances for the time; each sends ten a second.
func (f *limitedFleet) send(length time.Duration, instances ...int) {
	var callers sync.WaitGroup
	for _, i := range instances {
		callers.Go(func() {
			for start := time.Now(); time.Since(start) < length; time.Sleep(requestPause) {
				f.request(relay.MemberName(fmt.Sprint("n", i)))
			}
		})
	}
	callers.Wait()
}

func (f *limitedFleet) request(at relay.MemberName) {
	start := time.Now()
	err := f.instances[at].Serve(f.t.Context(), proxy.Job[head]{Request: relay.Request{
		ID: "q", Host: "h", Path: "/x", Arrived: start, CallerTimeout: 5 * time.Second,
	}}, new(responseWriter))
	if err == nil {
		return
	}
	var refusal relay.Refusal
	assert.Check(f.t, errors.As(err, &refusal) && refusal.NotRun && refusal.RetryAfter > 0, "%v", err)
	assert.Check(f.t, time.Since(start) == 0, "a request that doesn't fit is rejected at once")
	f.refusals.Store(start, refusal)
}

// assertLimitKept checks that no period of limitWindow had more requests than the limit allows with its tolerance of a half
// and five requests, and that most of the limit was used.
func (f *limitedFleet) assertLimitKept(length time.Duration) {
	f.t.Helper()
	assert.Check(f.t, float64(f.sent.most(limitWindow)) <= 1.5*testLimit*limitWindow.Seconds()+5)
	assert.Check(f.t, float64(len(f.sent.times)) >= 0.7*testLimit*length.Seconds(), "%d requests in %v", len(f.sent.times), length)
}

// Guards against a server that got far more requests than the limit that it had named, as each instance sent what it would.
func TestServerGetsNoMoreThanItsLimitFromTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 7)
		f.send(12*time.Second, 0, 1, 2, 3, 4, 5, 6)
		f.assertLimitKept(12 * time.Second)
	})
}

// Guards against shares of a limit that are kept for instances which send nothing.
func TestLimitIsSharedByThoseWhoSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 30)
		f.send(12*time.Second, 3, 17)
		f.assertLimitKept(12 * time.Second)
	})
}

// Guards against a limit that is exceeded, or of which nothing is used, while the instance that grants it is gone, and after
// others have taken its place.
func TestLimitIsKeptWhileItsKeeperChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 7)
		f.send(5*time.Second, 0, 1, 2, 3, 4, 5, 6)
		f.gone = f.limitKeeper()
		f.send(5*time.Second, 0, 1, 2, 3, 4, 5, 6)
		f.remove(f.gone)
		f.send(5*time.Second, 0, 1, 2, 3, 4, 5, 6)
		f.assertLimitKept(15 * time.Second)
	})
}

// Guards against a server that gets requests after it has said in an answer that it leaves: the list of servers tells of it
// later, or never.
func TestServerThatSaidItLeavesGetsNoMoreRequests(t *testing.T) {
	leaving := answerWith(answer{Status: 200, Signed: true, Backpressure: relay.Backpressure{Leaving: true}}, "done", io.EOF)
	h := newHarness(t, plainRoute(relay.RetryNever), leaving, leaving, answerOK("done"))
	for range 20 {
		assert.NilError(t, h.serve(t.Context()))
	}
	left := map[relay.ServerID]bool{h.backend.attempts[0].Server.ID: true, h.backend.attempts[1].Server.ID: true}
	assert.Equal(t, len(left), 2)
	for _, sent := range h.backend.attempts[2:] {
		assert.Assert(t, !left[sent.Server.ID], "%s got another request", sent.Server.ID)
	}
	other := newHarness(t, plainRoute(relay.RetryNever), answerOK("done"))
	other.dispatcher.MergeReports(h.dispatcher.FreshReports())
	for range 20 {
		assert.NilError(t, other.serve(t.Context()))
	}
	for _, sent := range other.backend.attempts {
		assert.Assert(t, !left[sent.Server.ID], "another instance sent a request to %s", sent.Server.ID)
	}
	reborn := newHarness(t, plainRoute(relay.RetryNever), answerOK("done"))
	reborn.state = withServersBornAt(time.Unix(1, 0))
	reborn.dispatcher.MergeReports(h.dispatcher.FreshReports())
	for range 50 {
		assert.NilError(t, reborn.serve(t.Context()))
	}
	assert.Equal(t, len(reborn.receivers()), 3, "its next incarnation takes requests")
}

// Guards against a server that gets requests after it has asked for a pause, and against callers that wait for it.
func TestServerThatAskedForAPauseGetsNothingMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused := answerWith(answer{Status: 503, NotRun: true, Backpressure: relay.Backpressure{RetryAfter: 3 * time.Second}}, "", io.EOF)
		h := newHarness(t, plainRoute(relay.RetryNever), paused, paused, paused, answerOK("done"))
		refusal := h.mustRefuse(h.serve(t.Context()))
		assert.Assert(t, refusal.NotRun)
		assert.Equal(t, refusal.RetryAfter, 2*time.Second)
		assert.Equal(t, len(h.receivers()), 3, "each server was asked once")
		time.Sleep(2900 * time.Millisecond)
		refusal = h.mustRefuse(h.serve(t.Context()))
		assert.Equal(t, refusal.Reason, relay.ReasonSaturated)
		assert.Equal(t, refusal.RetryAfter, 100*time.Millisecond)
		assert.Equal(t, len(h.backend.attempts), 3)
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, h.serve(t.Context()))
	})
}

// Guards against a refusal that speaks of no server, and sends callers away for long, when all servers have limits.
func TestRequestIsRejectedWithATimeIfAllServersHaveLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := answerWith(answer{Status: 200, Signed: true, Backpressure: relay.Backpressure{Limit: 1, HasLimit: true}}, "done", io.EOF)
		h := newHarness(t, plainRoute(relay.RetryNever), limited)
		h.state = withMoreServers(9)
		for len(h.receivers()) < 12 {
			assert.NilError(t, h.serve(t.Context()))
		}
		sent := len(h.backend.attempts)
		for range 6 {
			refusal := h.mustRefuse(h.serve(t.Context()))
			assert.Equal(t, refusal.Reason, relay.ReasonSaturated)
			assert.Assert(t, refusal.NotRun && refusal.RetryAfter <= time.Second, "%v", refusal)
		}
		assert.Equal(t, len(h.backend.attempts), sent)
	})
}
