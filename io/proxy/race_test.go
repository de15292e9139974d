package proxy_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a race between an answer that is dropped for a larger model's and the check of its attempt for being slow,
// which the race detector reports.
func TestAttemptIsCheckedWhileItsAnswerLeadsToALargerModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 10 * time.Millisecond
		pause := usual
		h := newHarness(t, cascadeRoute(), func(ctx context.Context, sent attempt) (*answer, error) {
			confidence := 95
			if sent.Model == "small" && pause > usual {
				confidence = 5
			}
			time.Sleep(pause)
			return answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: confidence}, firstEvent, io.EOF)(ctx, sent)
		})
		for range 10 {
			assert.NilError(t, h.serveTo(t.Context(), new(responseWriter)))
		}
		// The answers come as the attempts are checked for the first time.
		pause = 3 * usual
		for range 50 {
			assert.NilError(t, h.serveTo(t.Context(), new(responseWriter)))
		}
	})
}
