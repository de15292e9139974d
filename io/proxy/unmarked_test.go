package proxy_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

func unmarkedAnswer(stream bool, body string) func(context.Context, attempt) (*answer, error) {
	return answerWith(answer{Status: 200, Signed: true, Stream: stream, EndsWithConnection: true, Length: -1}, body, io.EOF)
}

// Guards against a part of an answer that reaches its caller as the whole: the server's process ended, and with it the
// connection that alone marks the answer's end.
func TestAnswerThatEndsWithItsConnectionIsNotWholeIfItsServerIsGone(t *testing.T) {
	long := strings.Repeat("b", 200<<10)
	for name, c := range map[string]struct {
		route     relay.Route
		body      string
		truncated string
	}{
		"stream that may not be resumed": {streamRoute(relay.RetryNever), firstEvent, firstEvent},
		"plain answer":                   {plainRoute(relay.RetryNever), "do", ""},
		"empty answer":                   {plainRoute(relay.RetryNever), "", ""},
		"long answer":                    {plainRoute(relay.RetryNever), long, long},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.route, unmarkedAnswer(c.route.Stream, c.body))
			assert.NilError(t, h.serveTo(t.Context(), new(responseWriter)), "its server is there")
			h.backend.isGone = true
			err := h.serve(t.Context())
			assert.Assert(t, err != nil)
			assert.Equal(t, h.writer.body.String(), c.truncated)
			if c.truncated != "" {
				assert.ErrorIs(t, err, proxy.ErrTruncated)
			}
		})
	}
}

// Guards against the loss of an answer that another server could give or go on with.
func TestAnotherServerTakesOverIfTheServerOfAnUnmarkedEndIsGone(t *testing.T) {
	h := newHarness(t, streamRoute(relay.RetryResuming), unmarkedAnswer(true, firstEvent), streamAnswer(secondEvent, io.EOF))
	h.backend.isGone = true
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, h.writer.body.String(), firstEvent+secondEvent)
	assert.Equal(t, h.backend.attempts[1].LastEventID, "1")

	h = newHarness(t, plainRoute(relay.RetryAlways), unmarkedAnswer(false, "do"), answerOK("done"))
	h.backend.isGone = true
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, h.writer.body.String(), "done")
}
