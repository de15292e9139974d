package proxy_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

var errConnectionReset = errors.New("connection reset")

func TestCompleteAnswerIsRelayed(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryNever), answerOK("done"))
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, h.writer.body.String(), "done")
	assert.Equal(t, len(h.backend.attempts), 1)
	assert.DeepEqual(t, h.recorder.kinds, []proxy.DecisionKind{proxy.DecisionAnswered})
}

func TestNonRetryableRequestIsResentOnlyIfItDidNotRun(t *testing.T) {
	cases := map[string]struct {
		first  func(context.Context, attempt) (*answer, error)
		resent bool
	}{
		"connection refused":                  {failsWith(proxy.ErrUnsent), true},
		"server declined to run it":           {answerWith(answer{Status: 503, NotRun: true}, "", io.EOF), true},
		"request for another server":          {answerWith(answer{Status: 421, NotRun: true}, "", io.EOF), true},
		"answer lost after sending":           {failsWith(proxy.ErrAnswerLost), false},
		"connection reset inside the body":    {answerWith(answer{Status: 200, Signed: true}, "do", errConnectionReset), false},
		"answer without signature":            {answerWith(answer{Status: 200}, "done", io.EOF), false},
		"answer in an encoding not asked for": {answerWith(answer{Status: 200, Signed: true, UnexpectedEncoding: true}, "x", io.EOF), false},
		"503 without signature":               {answerWith(answer{Status: 503}, "", io.EOF), false},
	}
	for name, c := range cases {
		h := newHarness(t, plainRoute(relay.RetryNever), c.first, answerOK("done"))
		err := h.serve(t.Context())
		if c.resent {
			assert.NilError(t, err, name)
			assert.Equal(t, h.writer.body.String(), "done", name)
			h.assertNoServerTwice()
			continue
		}
		r := h.mustRefuse(err)
		assert.Assert(t, !r.NotRun, "%s: the request may have run", name)
		assert.Equal(t, len(h.backend.attempts), 1, name)
		assert.Equal(t, h.writer.body.Len(), 0, name)
	}
}

func TestRefusalSaysNotRunWhenEveryServerDeclined(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryNever), answerWith(answer{Status: 503, NotRun: true}, "", io.EOF))
	r := h.mustRefuse(h.serve(t.Context()))
	assert.Assert(t, r.NotRun)
	assert.Assert(t, r.RetryAfter > 0)
	assert.Equal(t, len(h.backend.attempts), 3)
}

func TestRetryableRequestIsRetriedOnAnotherServer(t *testing.T) {
	for _, first := range []func(context.Context, attempt) (*answer, error){
		failsWith(proxy.ErrAnswerLost), answerWith(answer{Status: 500, Signed: true}, "oops", io.EOF),
		answerWith(answer{Status: 200, Signed: true}, "do", errConnectionReset), answerWith(answer{Status: 200}, "forged", io.EOF),
	} {
		h := newHarness(t, plainRoute(relay.RetryAlways), first, answerOK("done"))
		assert.NilError(t, h.serve(t.Context()))
		assert.Equal(t, h.writer.body.String(), "done")
		h.assertNoServerTwice()
	}
}

func TestServerErrorIsRelayedOnceRetriesAreExhausted(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryAlways), answerWith(answer{Status: 500, Signed: true}, "oops", io.EOF))
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, h.writer.head.Status, 500)
	assert.Equal(t, h.writer.body.String(), "oops")
	assert.Equal(t, len(h.backend.attempts), 3)
	h = newHarness(t, plainRoute(relay.RetryNever), answerWith(answer{Status: 500, Signed: true}, "oops", io.EOF))
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, len(h.backend.attempts), 1)
}

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

func streamAnswer(body string, endErr error) func(context.Context, attempt) (*answer, error) {
	return answerWith(answer{Status: 200, Signed: true, Stream: true}, body, endErr)
}

func TestBrokenStreamResumesOnAnotherServer(t *testing.T) {
	for _, half := range []string{"", "id: 2\nda"} {
		for _, end := range []error{errConnectionReset, io.ErrUnexpectedEOF} {
			h := newHarness(t, streamRoute(relay.RetryResuming), streamAnswer(firstEvent+half, end), streamAnswer(secondEvent, io.EOF))
			assert.NilError(t, h.serve(t.Context()))
			assert.Equal(t, h.writer.body.String(), firstEvent+secondEvent)
			assert.Equal(t, h.backend.attempts[1].LastEventID, "1")
			assert.Equal(t, h.writer.head.Head.name, string(h.backend.attempts[0].Server.ID), "the head must be the first server's")
			h.assertNoServerTwice()
		}
	}
}

func TestStreamEndingInsideAnEventIsReportedAsTruncated(t *testing.T) {
	h := newHarness(t, streamRoute(relay.RetryNever), streamAnswer(firstEvent+"id: 2\nda", io.EOF))
	assert.ErrorIs(t, h.serve(t.Context()), proxy.ErrTruncated)
	assert.Equal(t, h.writer.body.String(), firstEvent)
	assert.Equal(t, len(h.backend.attempts), 1)
}

func cascadeRoute() relay.Route {
	r := streamRoute(relay.RetryResuming)
	r.Models = []relay.ModelName{"small", "large"}
	return r
}

func TestLowConfidenceAnswerIsReplacedByLargerModelsAnswer(t *testing.T) {
	lowConfidence := answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 5}, firstEvent, io.EOF)
	h := newHarness(t, cascadeRoute(), lowConfidence, streamAnswer(secondEvent, io.EOF))
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, h.writer.body.String(), secondEvent)
	assert.Equal(t, h.backend.attempts[0].Model, relay.ModelName("small"))
	assert.Equal(t, h.backend.attempts[1].Model, relay.ModelName("large"))
	assert.Assert(t, h.backend.attempts[1].Rank > h.backend.attempts[0].Rank, "the larger model must be asked with a less urgent rank")
}

func TestHighConfidenceAnswerIsRelayed(t *testing.T) {
	h := newHarness(t, cascadeRoute(), answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 95}, firstEvent, io.EOF))
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, len(h.backend.attempts), 1)
}

func TestFailedStepUpIsRetriedWithTheLargerModel(t *testing.T) {
	lowConfidence := answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 5}, firstEvent, io.EOF)
	h := newHarness(t, cascadeRoute(), lowConfidence, failsWith(proxy.ErrAnswerLost), streamAnswer(secondEvent, io.EOF))
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, h.backend.attempts[2].Model, relay.ModelName("large"))
}

func TestLateLargerModelAnswersReduceStepUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lowConfidence := answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 30}, firstEvent, io.EOF)
		late := func(ctx context.Context, sent attempt) (*answer, error) {
			time.Sleep(cascadeRoute().Objective + time.Second)
			return answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 90}, firstEvent, io.EOF)(ctx, sent)
		}
		h := newHarness(t, cascadeRoute())
		h.backend.answers = []func(context.Context, attempt) (*answer, error){func(ctx context.Context, sent attempt) (*answer, error) {
			if sent.Model == "small" {
				return lowConfidence(ctx, sent)
			}
			return late(ctx, sent)
		}}
		stepUps := func(requests int) int {
			before := len(h.backend.attempts)
			for range requests {
				assert.NilError(t, h.serveTo(t.Context(), new(responseWriter)))
			}
			return len(h.backend.attempts) - before - requests
		}
		assert.Equal(t, stepUps(2), 2)
		stepUps(20)
		assert.Assert(t, stepUps(20) < 10, "the larger model must be asked for less than half of the requests")
	})
}

func TestSilentServerIsAbandonedWhenRequestMayBeRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		h := newHarness(t, streamRoute(relay.RetryResuming), neverAnswers, streamAnswer(firstEvent, io.EOF))
		assert.NilError(t, h.serve(t.Context()))
		assert.Equal(t, h.writer.body.String(), firstEvent)
		assert.Assert(t, time.Since(began) < 3*time.Second)
	})
}

func TestServerSilentOnSeveralAttemptsIsAbandonedWithinObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 12
		h := newHarness(t, streamRoute(relay.RetryResuming), func(ctx context.Context, sent attempt) (*answer, error) {
			if sent.Server.ID == "s1" {
				return neverAnswers(ctx, sent)
			}
			return streamAnswer(firstEvent, io.EOF)(ctx, sent)
		})
		var inTime atomic.Int32
		var group sync.WaitGroup
		began := time.Now()
		for range requests {
			group.Go(func() {
				if h.serveTo(t.Context(), new(responseWriter)) == nil && time.Since(began) < 2*time.Second {
					inTime.Add(1)
				}
			})
		}
		group.Wait()
		// The last attempt at the silent server is its only one, so the longer silence timeout applies to it.
		assert.Assert(t, inTime.Load() >= requests-1, "%d of %d requests answered within the objective", inTime.Load(), requests)
	})
}

func TestNonRetryableRequestWaitsForSilentServerUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		h := newHarness(t, plainRoute(relay.RetryNever), neverAnswers)
		r := h.mustRefuse(h.serve(t.Context()))
		assert.Equal(t, r.Reason, relay.ReasonTimeout)
		assert.Assert(t, !r.NotRun)
		assert.Equal(t, len(h.backend.attempts), 1)
		assert.Equal(t, time.Since(began), 8*time.Second, "the final answer must come at the deadline")
	})
}

func TestRouteTimeoutBoundsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := plainRoute(relay.RetryNever)
		r.Timeout = 3 * time.Second
		began := time.Now()
		h := newHarness(t, r, neverAnswers)
		assert.Equal(t, h.mustRefuse(h.serve(t.Context())).Reason, relay.ReasonTimeout)
		assert.Equal(t, time.Since(began), 3*time.Second)
		assert.Assert(t, h.backend.attempts[0].TimeLeft <= 3*time.Second, "the server must receive the time that is left")
	})
}

func TestCallerDisconnectCancelsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, plainRoute(relay.RetryAlways), neverAnswers)
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		assert.Equal(t, h.mustRefuse(h.serve(ctx)).Reason, relay.ReasonCallerLeft)
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		assert.Equal(t, len(h.backend.attempts), 1)
	})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryAlways), failsWith(proxy.ErrAnswerLost))
	const requests = 400
	for range requests {
		assert.Assert(t, h.serve(t.Context()) != nil)
	}
	retries := len(h.backend.attempts) - requests
	assert.Assert(t, retries <= requests*90/100+30, "%d retries of %d requests", retries, requests)
	assert.Assert(t, retries > 0)
}

func TestRetryBudgetCoversCrashOfManyServers(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryAlways), answerOK("done"))
	for range 100 {
		assert.NilError(t, h.serve(t.Context()))
	}
	h.backend.attempts = nil
	h.backend.answers = make([]func(context.Context, attempt) (*answer, error), 0, 60)
	for range 30 {
		h.backend.answers = append(h.backend.answers, failsWith(proxy.ErrAnswerLost), answerOK("done"))
	}
	for range 30 {
		assert.NilError(t, h.serve(t.Context()))
	}
}

func TestRefusedConnectionsUseNoRetryBudget(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryNever), failsWith(proxy.ErrUnsent), answerOK("done"))
	for range 300 {
		h.backend.attempts = nil
		assert.NilError(t, h.serve(t.Context()))
	}
}

func TestOnlyServerAnswersAreCountedInTallies(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryAlways), failsWith(proxy.ErrAnswerLost), answerWith(answer{Status: 500, Signed: true}, "", io.EOF), answerOK("done"))
	assert.NilError(t, h.serve(t.Context()))
	assert.DeepEqual(t, h.dispatcher.Tallies(), []relay.Tally{{Service: "app", Release: "v1", Runs: 2, Failed: 1}})
}
