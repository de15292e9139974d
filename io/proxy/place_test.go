package proxy_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cmds"
	"endivehitch/io/proxy"
)

// inDomains returns a change of the state by which s1 is in the failure domain north1 of the region north, and s2 and s3
// are in south1 of the region south.
func inDomains(s relay.State) relay.State {
	domains := map[relay.ServerID]relay.FailureDomain{"s1": "north1", "s2": "south1", "s3": "south1"}
	feed := relay.Feed{After: s.Revision, Revision: s.Revision + 1}
	for id, domain := range domains {
		server, _ := s.Server(id)
		server.Domain = domain
		feed.Changes = append(feed.Changes, relay.Change{Key: string(id), Revision: feed.Revision, Entry: relay.Entry{Server: &server}})
	}
	regions := map[relay.FailureDomain]relay.Region{"north1": "north", "south1": "south"}
	return s.WithRegions(regions).WithFeed(feed, time.Now(), 0)
}

func evacuate(s relay.State, domain relay.FailureDomain) relay.State {
	return s.WithFeed(relay.Feed{After: s.Revision, Revision: s.Revision + 1, Changes: []relay.Change{{
		Key: "e/" + string(domain), Revision: s.Revision + 1, Entry: relay.Entry{Evacuation: &relay.Evacuation{Domain: domain}},
	}}}, time.Now(), 0)
}

// once returns a change of the state that is made when the state is read first after the call of arm.
func once(change func(relay.State) relay.State) (arm func(), next func(relay.State) relay.State) {
	isArmed := false
	return func() { isArmed = true }, func(s relay.State) relay.State {
		if !isArmed {
			return s
		}
		isArmed = false
		return change(s)
	}
}

// Guards against a request that leaves its region, at first or when the servers there have failed.
func TestFirstAttemptAndRetriesStayInTheAllowedRegions(t *testing.T) {
	for region, servers := range map[relay.Region]int{"north": 1, "south": 2} {
		for range 20 {
			route := plainRoute(relay.RetryAlways)
			route.AllowedRegions = []relay.Region{region}
			h := newHarness(t, route, answerWith(answer{Status: 500, Signed: true}, "failed", io.EOF))
			arm, next := once(inDomains)
			arm()
			h.state = next
			_ = h.serve(t.Context())
			assert.Equal(t, len(h.receivers()), servers)
			assert.Equal(t, h.receivers()["s1"], region == "north")
		}
	}
	route := plainRoute(relay.RetryAlways)
	route.AllowedRegions = []relay.Region{"east"}
	h := newHarness(t, route, answerOK("done"))
	refusal := h.mustRefuse(h.serve(t.Context()))
	assert.Equal(t, refusal.Reason, relay.ReasonRegion)
	assert.Assert(t, refusal.NotRun && refusal.RetryAfter > 0)
}

// Guards against a retry in a failure domain that was evacuated during the attempt before.
func TestRetryLeavesOutDomainThatWasEvacuatedMeanwhile(t *testing.T) {
	for range 20 {
		arm, next := once(func(s relay.State) relay.State { return evacuate(inDomains(s), "south1") })
		fails := answerWith(answer{Status: 500, Signed: true}, "failed", io.EOF)
		h := newHarness(t, plainRoute(relay.RetryAlways), func(ctx context.Context, sent attempt) (*answer, error) {
			arm()
			return fails(ctx, sent)
		}, fails)
		h.state = next
		_ = h.serve(t.Context())
		for _, sent := range h.backend.attempts[1:] {
			assert.Equal(t, sent.Server.ID, relay.ServerID("s1"))
		}
	}
}

// Guards against a request that waits, or reaches a server, while all servers of its service are evacuated.
func TestRequestIsRefusedAtOnceIfAllServersAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arm, next := once(func(s relay.State) relay.State { return evacuate(evacuate(inDomains(s), "north1"), "south1") })
		arm()
		h := newHarness(t, plainRoute(relay.RetryAlways), answerOK("done"))
		h.state = next
		began := time.Now()
		refusal := h.mustRefuse(h.serve(t.Context()))
		assert.Equal(t, refusal.Reason, relay.ReasonEvacuated)
		assert.Assert(t, refusal.NotRun && refusal.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(h.backend.attempts), 0)
	})
}

// Guards against a retry by the state from before a pause: the request was admitted then, but its next server may have been
// evacuated or have left meanwhile.
func TestRetryAfterAPauseWaitsForAnUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPausedInstance(ctx, t)
		apply := func(revision int64, key string, entry relay.Entry) {
			feed := relay.Feed{After: revision - 1, Revision: revision, Changes: []relay.Change{{Key: key, Revision: revision, Entry: entry}}}
			assert.Check(t, p.loop.Do(ctx, cmds.ApplyFeed{FromStore: true, Feed: feed}))
		}
		apply(2, "s2", relay.Entry{Server: &relay.Server{ID: "s2", Service: "app", Slots: 4}})
		isUpdated := false
		p.backend.answers = []func(context.Context, attempt) (*answer, error){
			func(context.Context, attempt) (*answer, error) {
				time.Sleep(6 * time.Second)
				time.AfterFunc(100*time.Millisecond, func() {
					isUpdated = true
					apply(3, "e/", relay.Entry{Evacuation: &relay.Evacuation{}})
				})
				return nil, proxy.ErrUnsent
			},
			answerOK("done"),
		}
		request := relay.Request{ID: "q", Host: "h", Path: "/x", Key: "old", Arrived: p.now(), CallerTimeout: 20 * time.Second}
		refusal := (&harness{t: t}).mustRefuse(p.serveRequest(ctx, request))
		assert.Assert(t, isUpdated && refusal.NotRun, "%v", refusal)
		assert.Equal(t, refusal.Reason, relay.ReasonEvacuated)
		assert.Equal(t, len(p.backend.attempts), 1)
		// The last command returns before its context is cancelled; Do may report either.
		synctest.Wait()
		cancel()
		synctest.Wait()
	})
}
