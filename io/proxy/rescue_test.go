package proxy_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

// Long answers of a larger model at a crowded engine come one event at a time, none late enough to look
// stalled, and together too late for the deadline. The caller must get a whole answer in time, whose end
// the smallest model writes at another server.
func TestLongAnswerAtACrowdedEngineIsFinishedByTheSmallestModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lowConfidence := answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 5}, firstEvent, io.EOF)
		crowded := pacedAnswer(answer{Stream: true}, pacedBody{pieces: []string{firstEvent}, pause: 900 * time.Millisecond})
		h := newHarness(t, cascadeRoute(), lowConfidence, crowded, streamAnswer(secondEvent, io.EOF))
		start := time.Now()
		assert.NilError(t, h.serve(t.Context()))
		assert.Assert(t, time.Since(start) < 8*time.Second)
		last := h.backend.attempts[2]
		assert.Equal(t, last.Model, relay.ModelName("small"))
		assert.Equal(t, last.LastEventID, "1")
		assert.Equal(t, last.Rank, h.backend.attempts[0].Rank, "what is left must not wait behind other answers")
	})
}

// An answer that is about to end must not be begun again elsewhere: most answers end in time.
func TestAnswerThatEndsInTimeIsLeftAtItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pieces := []string{firstEvent, firstEvent, firstEvent, firstEvent, firstEvent, firstEvent, firstEvent}
		h := newHarness(t, streamRoute(relay.RetryResuming), pacedAnswer(answer{Stream: true}, pacedBody{pieces: pieces, pause: 900 * time.Millisecond, ends: true}))
		assert.NilError(t, h.serve(t.Context()))
		assert.Equal(t, len(h.backend.attempts), 1)
	})
}

// A stream that must not run twice stays at its server until its deadline.
func TestLateStreamThatMayNotBeResumedIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, streamRoute(relay.RetryNever), pacedAnswer(answer{Stream: true}, pacedBody{pieces: []string{firstEvent}, pause: 900 * time.Millisecond}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.ErrorIs(t, h.serve(ctx), proxy.ErrTruncated)
		assert.Equal(t, len(h.backend.attempts), 1)
	})
}
