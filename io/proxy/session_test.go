package proxy_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
	"endivehitch/core/relay/query"
	"endivehitch/io/proxy"
)

// canarySession returns a session name that is assigned to the canary release v2 as a new session.
func canarySession(s relay.State) string {
	for i := 0; ; i++ {
		name := fmt.Sprint("session-", i)
		if query.Release(s, "app", place.Restriction{}, name, "", 0, time.Now()) == "v2" {
			return name
		}
	}
}

func TestSessionLifetimeCountsFromTheEndOfItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lifetime, requestTime = 5 * time.Second, 7 * time.Second
		entries := []relay.Entry{
			{Config: &relay.Config{Version: 1, Routes: []relay.Route{streamRoute(relay.RetryNever)}, Services: []relay.Service{{Name: "app"}}}},
			{Server: &relay.Server{ID: "old", Service: "app", Release: "v1", Slots: 4}},
		}
		state := func() relay.State {
			f := relay.Feed{Whole: true, Revision: 9}
			for i, e := range entries {
				f.Changes = append(f.Changes, relay.Change{Key: fmt.Sprint(i), Revision: int64(i + 1), Entry: e})
			}
			return relay.New(relay.Member{Name: "n"}).WithFeed(f, time.Now(), 0)
		}
		s := state()
		dispatcher, err := proxy.New(proxy.Config[head]{
			RetryLimits: func() proxy.RetryLimits { return proxy.RetryLimits{Window: time.Second} },
			Backend: &scriptedBackend{answers: []func(context.Context, attempt) (*answer, error){
				func(ctx context.Context, sent attempt) (*answer, error) {
					time.Sleep(requestTime)
					return streamAnswer(firstEvent, io.EOF)(ctx, sent)
				},
				func(ctx context.Context, sent attempt) (*answer, error) {
					assert.Check(t, sent.Server.Release == "v1", "the session must stay on v1, but moved to %s", sent.Server.Release)
					return streamAnswer(firstEvent, io.EOF)(ctx, sent)
				},
			}},
			Snapshot: func() relay.State { return s }, Watch: fixed(&s), Now: time.Now, Recorder: new(recorder), SessionLifetime: lifetime,
			SessionPeers: noPeers{}, PartKeepers: noPeers{}, LimitKeepers: noPeers{},
		})
		assert.NilError(t, err)
		withCanary := append(entries,
			relay.Entry{Server: &relay.Server{ID: "new", Service: "app", Release: "v2", Slots: 4}},
			relay.Entry{RollOut: &relay.RollOut{Service: "app", Target: "v2", Within: time.Minute}})
		withoutCanary := s
		entries = withCanary
		// Only the record of its earlier request keeps this session on v1 once the canary has started.
		session := canarySession(state())
		s = withoutCanary
		serve := func() {
			assert.NilError(t, dispatcher.Serve(t.Context(), proxy.Job[head]{Request: relay.Request{
				ID: "q", Host: "h", Path: "/x", Arrived: time.Now(), Session: session,
			}}, new(responseWriter)))
		}
		serve()
		s = state()
		time.Sleep(lifetime - time.Second)
		serve()
	})
}
