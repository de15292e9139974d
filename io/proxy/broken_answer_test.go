package proxy_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

// pacedBody gives its pieces one after the other with a pause before each, and then the last one again
// without end, until the attempt is cancelled.
type pacedBody struct {
	ctx    context.Context
	pieces []string
	pause  time.Duration
	// ends is set when the body ends after its pieces.
	ends bool
	// unread is the rest of a piece that didn't fit into the buffer.
	unread string
}

func (p *pacedBody) Read(b []byte) (int, error) {
	if p.unread != "" {
		n := copy(b, p.unread)
		p.unread = p.unread[n:]
		return n, nil
	}
	select {
	case <-time.After(p.pause):
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	}
	if len(p.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.pieces[0])
	p.unread = p.pieces[0][n:]
	if p.ends || len(p.pieces) > 1 {
		p.pieces = p.pieces[1:]
	}
	return n, nil
}

func (p *pacedBody) Close() error { return nil }

func pacedAnswer(head answer, body pacedBody) func(context.Context, attempt) (*answer, error) {
	return func(ctx context.Context, _ attempt) (*answer, error) {
		own, a := body, head
		own.ctx = ctx
		a.Status, a.Signed, a.Confidence, a.Body = 200, true, -1, &own
		return &a, nil
	}
}

// A server that can't resume a stream may answer with an error or a plain body, which must not be written
// into the stream that the caller has received a part of.
func TestAnswerThatIsNoStreamDoesNotContinueOne(t *testing.T) {
	cases := map[string]answer{
		"client error":      {Status: 404, Signed: true},
		"redirect":          {Status: 302, Signed: true},
		"plain answer":      {Status: 200, Signed: true},
		"error as a stream": {Status: 400, Signed: true, Stream: true},
	}
	for name, second := range cases {
		h := newHarness(t, streamRoute(relay.RetryResuming), streamAnswer(firstEvent, errConnectionReset), answerWith(second, "not found", io.EOF), streamAnswer(secondEvent, io.EOF))
		assert.NilError(t, h.serve(t.Context()), name)
		assert.Equal(t, h.writer.body.String(), firstEvent+secondEvent, name)
		h = newHarness(t, streamRoute(relay.RetryResuming), streamAnswer(firstEvent, errConnectionReset), answerWith(second, "not found", io.EOF))
		assert.ErrorIs(t, h.serve(t.Context()), proxy.ErrTruncated, name)
		assert.Equal(t, h.writer.body.String(), firstEvent, name)
	}
}

// Guards against a truncated stream that reached its caller as complete: the server that took it over crashed before its
// first event, in an answer that ends with its connection.
func TestEmptyContinuationThatEndsWithItsConnectionIsNotComplete(t *testing.T) {
	for endsWithConnection, attempts := range map[bool]int{true: 3, false: 2} {
		empty := answerWith(answer{Status: 200, Signed: true, Stream: true, EndsWithConnection: endsWithConnection}, "", io.EOF)
		h := newHarness(t, streamRoute(relay.RetryResuming), streamAnswer(firstEvent, errConnectionReset), empty, streamAnswer(secondEvent, io.EOF))
		assert.NilError(t, h.serve(t.Context()))
		assert.Equal(t, len(h.backend.attempts), attempts)
		assert.Equal(t, strings.HasSuffix(h.writer.body.String(), secondEvent), endsWithConnection)
	}
}

// Comments keep a connection open, but bring the caller no further.
func TestStreamThatSendsOnlyCommentsCountsAsStalled(t *testing.T) {
	stalls := map[string][]string{
		"before the first event": {": wait\n\n"},
		"after an event":         {firstEvent, ": wait\n\n"},
		"bytes of one event":     {firstEvent, "d"},
		"line ends":              {firstEvent, "\n"},
	}
	for name, pieces := range stalls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, streamRoute(relay.RetryResuming), pacedAnswer(answer{Stream: true}, pacedBody{pieces: pieces, pause: 100 * time.Millisecond}), streamAnswer(firstEvent+secondEvent, io.EOF))
				assert.NilError(t, h.serve(t.Context()))
				assert.Equal(t, len(h.backend.attempts), 2, "another server must take over before the deadline")
			})
		})
	}
}

// Without a deadline nothing else ends a stream that no other server may take over.
func TestStalledStreamEndsWithoutADeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := streamRoute(relay.RetryNever)
		route.Timeout = 0
		h := newHarness(t, route, pacedAnswer(answer{Stream: true}, pacedBody{pieces: []string{firstEvent, ": wait\n\n"}, pause: 100 * time.Millisecond}))
		start := time.Now()
		err := h.dispatcher.Serve(t.Context(), proxy.Job[head]{Request: relay.Request{ID: "q", Host: "h", Path: "/x", Arrived: start}}, h.writer)
		assert.ErrorIs(t, err, proxy.ErrTruncated)
		assert.Assert(t, time.Since(start) < time.Minute, "ended after %v", time.Since(start))
	})
}

// A route may state neither an objective nor a pause between events; its slow answers must not be given
// up at once for that.
func TestSlowAnswersAreNotCutOnARouteWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := streamRoute(relay.RetryResuming)
		route.Gap, route.Objective = 0, 0
		h := newHarness(t, route, pacedAnswer(answer{Stream: true}, pacedBody{pieces: []string{firstEvent, secondEvent}, pause: 900 * time.Millisecond, ends: true}))
		assert.NilError(t, h.serve(t.Context()))
		assert.Equal(t, h.writer.body.String(), firstEvent+secondEvent)
		assert.Equal(t, len(h.backend.attempts), 1)
	})
	synctest.Test(t, func(t *testing.T) {
		route := plainRoute(relay.RetryAlways)
		route.Objective = 0
		h := newHarness(t, route, pacedAnswer(answer{}, pacedBody{pieces: []string{"do", "ne"}, pause: 500 * time.Millisecond, ends: true}))
		assert.NilError(t, h.serve(t.Context()))
		assert.Equal(t, h.writer.body.String(), "done")
		assert.Equal(t, len(h.backend.attempts), 1)
	})
}

// The part that the caller has can't be taken back, so another server can't take over.
func TestLargeBodyIsNotGivenUpWhileItIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pieces := make([]string, 20)
		for i := range pieces {
			pieces[i] = strings.Repeat("b", 16<<10)
		}
		h := newHarness(t, plainRoute(relay.RetryAlways), pacedAnswer(answer{}, pacedBody{pieces: pieces, pause: 80 * time.Millisecond, ends: true}))
		assert.NilError(t, h.serve(t.Context()))
		assert.Equal(t, h.writer.body.Len(), 20*16<<10)
		assert.Equal(t, len(h.backend.attempts), 1)
	})
}

var errCallerGone = errors.New("caller is gone")

// leavingWriter stands for a caller that closes its connection after the first part of the body.
type leavingWriter struct {
	responseWriter
	writes int
}

func (w *leavingWriter) Write(b []byte) error {
	if w.writes++; w.writes > 1 {
		return errCallerGone
	}
	return w.responseWriter.Write(b)
}

func TestFailedWriteToTheCallerIsNotAnUnknownOutcome(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryNever), answerOK(strings.Repeat("b", 2<<20)))
	err := h.serveTo(t.Context(), &leavingWriter{})
	assert.ErrorIs(t, err, proxy.ErrTruncated)
	assert.Equal(t, h.mustRefuse(err).Reason, relay.ReasonCallerLeft)
}

// What an instance that ends says about its requests must be true: a caller sends one again only when it
// has not run.
func TestEndOfTheInstanceGivesTrueFinalAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			err    error
			notRun bool
		}{
			"no server has it":    {proxy.ErrUnsent, true},
			"a server may run it": {proxy.ErrAnswerLost, false},
		} {
			h := newHarness(t, plainRoute(relay.RetryAlways), func(ctx context.Context, _ attempt) (*answer, error) {
				<-ctx.Done()
				return nil, c.err
			})
			ctx, end := context.WithCancelCause(t.Context())
			time.AfterFunc(100*time.Millisecond, func() { end(proxy.ErrInstanceEnds) })
			r := h.mustRefuse(h.serve(ctx))
			assert.Equal(t, r.NotRun, c.notRun, name)
			assert.Assert(t, r.Reason != relay.ReasonCallerLeft, name)
			assert.Equal(t, len(h.backend.attempts), 1, name)
		}
	})
}
