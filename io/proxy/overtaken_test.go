package proxy_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

// limitAnswer is an answer of a server that takes the number of requests a second.
func limitAnswer(limit float64) answer {
	return answer{Status: 200, Signed: true, Backpressure: relay.Backpressure{Limit: limit, HasLimit: true}}
}

// answerAfter answers with the head after the time.
func answerAfter(delay time.Duration, a answer) func(context.Context, attempt) (*answer, error) {
	return func(ctx context.Context, sent attempt) (*answer, error) {
		time.Sleep(delay)
		return answerWith(a, "", io.EOF)(ctx, sent)
	}
}

// newOneServerHarness is a harness with one server, which gives the answers in order.
func newOneServerHarness(t *testing.T, answers ...func(context.Context, attempt) (*answer, error)) *harness {
	h := newHarness(t, plainRoute(relay.RetryNever), answers...)
	h.apply(relay.Change{Key: "s2", Gone: true})
	h.apply(relay.Change{Key: "s3", Gone: true})
	return h
}

// serveAtOnce sends n requests at the same time and returns how many were answered.
func (h *harness) serveAtOnce(n int) int {
	var callers sync.WaitGroup
	answered := make(chan struct{}, n)
	for range n {
		callers.Go(func() {
			if h.servePath("/x") == nil {
				answered <- struct{}{}
			}
		})
	}
	callers.Wait()
	return len(answered)
}

// serveFor sends ten requests every 100 ms for the time, and returns how many were answered.
func (h *harness) serveFor(length time.Duration) int {
	answered := 0
	for range length / (100 * time.Millisecond) {
		answered += h.serveAtOnce(10)
		time.Sleep(100 * time.Millisecond)
	}
	return answered
}

// serveOnce sends a request every 100 ms until one is answered.
func (h *harness) serveOnce() {
	for h.servePath("/x") != nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a limit that is lifted, or raised, by an answer that the server sent before it stated the limit: answers on
// different connections overtake each other.
func TestAnswerThatWasOvertakenWeakensNoLimit(t *testing.T) {
	for name, overtaken := range map[string]answer{"lifted": {Status: 200, Signed: true}, "raised": limitAnswer(1000)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newOneServerHarness(t, answerAfter(time.Second, overtaken), answerWith(limitAnswer(1), "", io.EOF), answerOK("done"))
				var caller sync.WaitGroup
				caller.Go(func() { assert.Check(t, h.servePath("/x")) })
				time.Sleep(100 * time.Millisecond)
				assert.NilError(t, h.servePath("/x"))
				caller.Wait()
				h.backend.answers = append(h.backend.answers[:2], answerAfter(workTime, limitAnswer(1)))
				assert.Assert(t, h.serveFor(3*time.Second) <= 4)
				h.backend.answers[2] = answerOK("done")
				h.serveOnce()
				assert.Equal(t, h.serveAtOnce(10), 10, "an answer to a later request lifts the limit")
			})
		})
	}
}

// Guards against a limit that an older report of another instance raises: the age of a report doesn't include its time on the
// network.
func TestReportOfAnOlderLimitRaisesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newOneServerHarness(t, answerAfter(workTime, limitAnswer(1)))
		assert.NilError(t, h.servePath("/x"))
		time.Sleep(300 * time.Millisecond)
		h.dispatcher.MergeReports([]relay.ServerReport{{Server: "s1", Limit: 1000, HasLimit: true}})
		answered := h.serveFor(600 * time.Millisecond)
		assert.Assert(t, answered <= 2, "%d requests in 600 ms for a limit of one a second", answered)
	})
}

// Guards against a limit that the server has lifted and an older report of another instance restores.
func TestReportOfAnOlderLimitRestoresNone(t *testing.T) {
	report := []relay.ServerReport{{Server: "s1", Limit: 1, HasLimit: true}}
	synctest.Test(t, func(t *testing.T) {
		h := newOneServerHarness(t, answerWith(limitAnswer(1), "", io.EOF), answerOK("done"))
		assert.NilError(t, h.servePath("/x"))
		h.serveOnce()
		h.dispatcher.Retain(h.latest.Get())
		h.dispatcher.MergeReports(report)
		assert.Equal(t, h.serveAtOnce(10), 10, "the limit is lifted")
		time.Sleep(2 * time.Second)
		h.dispatcher.MergeReports(report)
		assert.Assert(t, h.serveAtOnce(10) <= 1, "the report is of a new limit")
	})
}

// Guards against a limit that is lifted by an answer which leaves it out as it isn't the server's own, such as wrong bytes or that
// of another server which has its address now.
func TestAnswerThatIsNotTheServersOwnLiftsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		foreign := answer{Status: 421, NotRun: true, Backpressure: relay.Backpressure{IsPartial: true}}
		h := newOneServerHarness(t, answerWith(limitAnswer(1), "", io.EOF), answerWith(foreign, "", io.EOF), answerAfter(workTime, limitAnswer(1)))
		assert.NilError(t, h.servePath("/x"))
		for len(h.backend.attempts) < 2 {
			time.Sleep(100 * time.Millisecond)
			h.mustRefuse(h.servePath("/x"))
		}
		assert.Assert(t, h.serveAtOnce(10) <= 1)
	})
}
