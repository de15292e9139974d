package proxy_test

import (
	"context"
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

// awayTime is how long the entry of a server is gone before a late heartbeat brings it back.
const awayTime = 5 * time.Second

// askFor lets the first server that takes a request ask for something, removes its entry from the list for awayTime, and returns
// the server as a late heartbeat lists it again.
func askFor(t *testing.T, asked answer) (*harness, relay.Server) {
	h := newHarness(t, plainRoute(relay.RetryNever), answerWith(asked, "", io.EOF), answerOK("done"))
	// A server that asks for a pause refuses the request, which another one answers.
	assert.NilError(t, h.serve(t.Context()))
	server := h.backend.attempts[0].Server
	h.apply(relay.Change{Key: string(server.ID), Gone: true})
	h.retainFor(awayTime)
	return h, server
}

// list lists the server.
func (h *harness) list(server relay.Server) {
	h.apply(relay.Change{Key: string(server.ID), Entry: relay.Entry{Server: &server}})
}

// countSent serves n requests and returns how many were sent to the server.
func (h *harness) countSent(server relay.ServerID, n int) int {
	h.t.Helper()
	before := len(h.backend.attempts)
	for range n {
		assert.NilError(h.t, h.serve(h.t.Context()))
	}
	return countAttempts(h.backend.attempts[before:], server)
}

func countAttempts(attempts []attempt, server relay.ServerID) int {
	n := 0
	for _, a := range attempts {
		if a.Server.ID == server {
			n++
		}
	}
	return n
}

// Guards against requests to a server that has said it leaves, once its entry is gone and a heartbeat that the store carries out
// late brings it back: the requests are lost when the server exits.
func TestServerThatSaidItLeavesGetsNothingWhenALateHeartbeatListsItAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := askFor(t, answer{Status: 200, Signed: true, Backpressure: relay.Backpressure{Leaving: true}})
		h.list(server)
		assert.Equal(t, h.countSent(server.ID, 30), 0)
		server.Born = time.Now()
		h.list(server)
		assert.Assert(t, h.countSent(server.ID, 30) > 0, "its next incarnation takes requests")
	})
}

// Guards against an instance that is told of a leaving server while the entry of that is gone, and sends requests once it is back.
func TestReportOfALeavingServerIsKnownBeforeItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := askFor(t, answer{Status: 200, Signed: true, Backpressure: relay.Backpressure{Leaving: true}})
		other := newHarness(t, plainRoute(relay.RetryNever), answerOK("done"))
		other.apply(relay.Change{Key: string(server.ID), Gone: true})
		other.dispatcher.MergeReports(h.dispatcher.FreshReports())
		other.retainFor(awayTime)
		other.list(server)
		assert.Equal(t, other.countSent(server.ID, 30), 0)
	})
}

// Guards against requests to a server that has asked for a pause, after its entry was gone for a part of the pause.
func TestPauseGoesOnWhenTheEntryOfTheServerReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := askFor(t, answer{Status: 503, NotRun: true, Backpressure: relay.Backpressure{RetryAfter: 2 * awayTime}})
		h.list(server)
		assert.Equal(t, h.countSent(server.ID, 30), 0)
		time.Sleep(awayTime)
		assert.Assert(t, h.countSent(server.ID, 30) > 0, "the pause is over")
	})
}

// Guards against more requests than the limit that a server has stated, after its entry was gone for some seconds: the server
// states the limit again with its answers, which come too late for the requests that are sent meanwhile.
func TestLimitGoesOnWhenTheEntryOfTheServerReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := answer{Status: 200, Signed: true, Backpressure: relay.Backpressure{Limit: 1, HasLimit: true}}
		h, server := askFor(t, limited)
		h.list(server)
		h.backend.answers = []func(context.Context, attempt) (*answer, error){func(ctx context.Context, sent attempt) (*answer, error) {
			time.Sleep(workTime)
			return answerOK("done")(ctx, sent)
		}}
		before := len(h.backend.attempts)
		var callers sync.WaitGroup
		for range 30 {
			callers.Go(func() { assert.Check(t, h.servePath("/x")) })
		}
		callers.Wait()
		sent := countAttempts(h.backend.attempts[before:], server.ID)
		assert.Assert(t, sent <= 1, "%d requests at once for a limit of one a second", sent)
	})
}

// Guards against memory that grows with each server that has ever left, and against reports of them that displace others.
func TestWhatIsKnownOfGoneServersIsBounded(t *testing.T) {
	const maxKnown, known = 1024, 1100
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, plainRoute(relay.RetryNever), answerOK("done"))
		for i := range known {
			h.dispatcher.MergeReports([]relay.ServerReport{{Server: relay.ServerID(fmt.Sprint("gone-", i)), Leaving: true}})
		}
		h.retainFor(time.Second)
		assert.Equal(t, h.recorder.count(proxy.DecisionServerForgotten), known-maxKnown)
		h.retainFor(20 * time.Second)
		assert.Equal(t, len(h.dispatcher.FreshReports()), 0, "they are not passed on for long")
		h.retainFor(10 * time.Minute)
		assert.Equal(t, h.recorder.count(proxy.DecisionServerForgotten), known)
	})
}
