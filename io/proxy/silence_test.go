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

// withDraining returns a change of the state by which the servers drain.
func withDraining(ids ...relay.ServerID) func(relay.State) relay.State {
	return func(s relay.State) relay.State {
		feed := relay.Feed{After: s.Revision, Revision: s.Revision + 1}
		for _, id := range ids {
			if server, ok := s.Server(id); ok && !server.Draining {
				server.Draining = true
				feed.Changes = append(feed.Changes, relay.Change{Key: string(id), Revision: feed.Revision, Entry: relay.Entry{Server: &server}})
			}
		}
		if len(feed.Changes) == 0 {
			return s
		}
		return s.WithFeed(feed, time.Now(), 0)
	}
}

// Guards against an answer that is cut for its server's silence, where no server is left to take over.
func TestSilentAnswerIsLeftAloneWhereNoServerCanTakeOver(t *testing.T) {
	const pause = 2600 * time.Millisecond
	stream, plain := streamRoute(relay.RetryResuming), plainRoute(relay.RetryAlways)
	for name, c := range map[string]struct {
		route    relay.Route
		draining []relay.ServerID
		attempts int
	}{
		"stream, one server":          {stream, []relay.ServerID{"s2", "s3"}, 1},
		"stream, the other one tried": {stream, []relay.ServerID{"s3"}, 2},
		"plain answer, one server":    {plain, []relay.ServerID{"s2", "s3"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				events := pacedBody{pieces: []string{firstEvent}, pause: pause, ends: true}
				h := newHarness(t, c.route, pacedAnswer(answer{Stream: c.route.Stream}, events))
				h.state = withDraining(c.draining...)
				assert.NilError(t, h.serve(t.Context()))
				assert.Equal(t, len(h.backend.attempts), c.attempts)
			})
		})
	}
}

// Guards against a stream that waits for a dead server although one that can take over has come up meanwhile.
func TestSilentStreamMovesOnceAServerCanTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, streamRoute(relay.RetryResuming), neverAnswers, streamAnswer(firstEvent, io.EOF))
		started := time.Now()
		h.state = func(s relay.State) relay.State {
			if time.Since(started) < 4*time.Second {
				return withDraining("s2", "s3")(s)
			}
			return withMoreServers(1)(s)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.NilError(t, h.serve(ctx))
		assert.Equal(t, len(h.backend.attempts), 2)
		assert.Assert(t, time.Since(started) < 5*time.Second)
	})
}
