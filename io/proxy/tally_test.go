package proxy_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

// Guards against a slow release that seems fast just after it got more traffic, so that it was completed: its fast attempts
// were counted at once, and the slow ones some seconds later.
func TestFastAttemptCountsOnceItWouldHaveBeenSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, plainRoute(relay.RetryNever), func(ctx context.Context, sent attempt) (*answer, error) {
			time.Sleep(100 * time.Millisecond)
			return answerOK("done")(ctx, sent)
		})
		runs := func() int { return h.dispatcher.Tallies()[0].Runs }
		for range 20 {
			assert.NilError(t, h.serve(t.Context()))
		}
		time.Sleep(time.Second)
		assert.Equal(t, runs(), 20)
		assert.NilError(t, h.serve(t.Context()))
		time.Sleep(150 * time.Millisecond)
		assert.Equal(t, runs(), 20)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, runs(), 21)
	})
}

// Guards against a slow release that was completed and kept: only attempts that ended with an answer were counted, so
// the slower a release was, the less of it was seen.
func TestSlowAttemptCountsWhileItIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pieces := []string{firstEvent, firstEvent, firstEvent, firstEvent, firstEvent}
		usual := pacedAnswer(answer{Stream: true}, pacedBody{pieces: pieces, pause: 20 * time.Millisecond, ends: true})
		slow := pacedAnswer(answer{Stream: true}, pacedBody{pieces: []string{firstEvent}, pause: 400 * time.Millisecond})
		answers := []func(context.Context, attempt) (*answer, error){}
		const usualAnswers = 20
		for range usualAnswers {
			answers = append(answers, usual)
		}
		h := newHarness(t, streamRoute(relay.RetryNever), append(answers, slow)...)
		for range usualAnswers {
			assert.NilError(t, h.serve(t.Context()))
		}
		assert.Equal(t, h.dispatcher.Tallies()[0].Slow, 0)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- h.serve(ctx) }()
		time.Sleep(1300 * time.Millisecond)
		tally := h.dispatcher.Tallies()[0]
		assert.Equal(t, tally.Runs, usualAnswers+1)
		assert.Equal(t, tally.Slow, 1)
		cancel()
		assert.Assert(t, <-ended != nil)
		assert.DeepEqual(t, h.dispatcher.Tallies()[0], tally)
	})
}

// Guards against a good release that was reverted: a request at fault itself failed at two of its servers, and both counted.
func TestErrorThatFollowsAnotherServersErrorDoesNotCount(t *testing.T) {
	failed := answerWith(answer{Status: 500, Signed: true}, "", io.EOF)
	h := newHarness(t, plainRoute(relay.RetryAlways), failed, failed, failed)
	assert.NilError(t, h.serve(t.Context()))
	assert.DeepEqual(t, h.dispatcher.Tallies(), []relay.Tally{{Service: "app", Release: "v1", Runs: 1, Failed: 1}})
}

// Guards against a bad release that was completed: requests whose callers waited for a moment only ended with 504 at the
// release before, so that its share of errors was high too.
func TestRequestWhoseTimeWasUpDoesNotCountAsFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answerAfter := func(pause time.Duration, status int) func(context.Context, attempt) (*answer, error) {
			return func(ctx context.Context, sent attempt) (*answer, error) {
				time.Sleep(pause)
				return answerWith(answer{Status: status, Signed: true}, "", io.EOF)(ctx, sent)
			}
		}
		var answers []func(context.Context, attempt) (*answer, error)
		for range 20 {
			answers = append(answers, answerAfter(100*time.Millisecond, 200))
		}
		answers = append(answers, answerAfter(200*time.Millisecond, 504), answerAfter(time.Second, 504))
		h := newHarness(t, plainRoute(relay.RetryNever), answers...)
		for range answers {
			assert.NilError(t, h.serve(t.Context()))
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, h.dispatcher.Tallies(), []relay.Tally{{Service: "app", Release: "v1", Runs: 21, Slow: 1}})
	})
}
