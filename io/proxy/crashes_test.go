package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

const (
	// detectionTime is the limit on the time from the fifth crash until the fleet knows the part.
	detectionTime = 3 * time.Second
	// maxLateSends is how many requests with the part may reach servers after that.
	maxLateSends = 3
)

// crashesOn loses the servers' connection for requests for which the function is true, and answers others.
func crashesOn(isDeadly func(prompt []relay.Part) bool) func(context.Context, attempt) (*answer, error) {
	return func(ctx context.Context, sent attempt) (*answer, error) {
		if isDeadly(sent.Request.Prompt) {
			return nil, fmt.Errorf("%w: connection reset", proxy.ErrAnswerLost)
		}
		return answerOK("done")(ctx, sent)
	}
}

func hasPart(prompt []relay.Part, id string) bool {
	return slices.ContainsFunc(prompt, func(p relay.Part) bool { return p.ID == id })
}

// withNewServers gives each attempt's server an identifier of its own, as a crashed server returns under another.
func (h *harness) withNewServers() *harness {
	var servers atomic.Int64
	h.state = func(s relay.State) relay.State {
		feed := relay.Feed{After: s.Revision, Revision: s.Revision + 1, Changes: []relay.Change{{
			Key: "s1", Revision: s.Revision + 1, Entry: relay.Entry{Server: &relay.Server{ID: relay.ServerID(fmt.Sprint("n", servers.Add(1))), Service: "app", Release: "v1", Slots: 4}},
		}}}
		return s.WithFeed(feed, time.Now(), 0)
	}
	return h
}

// Guards against blaming a part for servers that break off single answers, or reset single connections: they have not
// crashed.
func TestLostConnectionOfAServerThatIsUpIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, plainRoute(relay.RetryAlways), crashesOn(func(p []relay.Part) bool { return hasPart(p, "unlucky") })).withNewServers()
		h.backend.isUp = true
		for n := range 50 {
			assert.Assert(t, h.serveParts("unlucky", fmt.Sprint("own", n)) != nil)
			assert.NilError(t, h.serveParts("sound", fmt.Sprint("own", n)))
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, !slices.Contains(h.recorder.kinds, proxy.DecisionPartQuarantined))
	})
}

// Guards against a deadly part that is found late because some of its answers were dropped for a larger model's after
// their heads: the server crashed on them all the same, but their connections were closed already.
func TestCrashOnAnAnswerThatWasDroppedCountsForItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var crashed relay.ServerID
		lowConfidence := answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 5}, firstEvent, io.EOF)
		h := newHarness(t, cascadeRoute(), func(ctx context.Context, sent attempt) (*answer, error) {
			switch {
			case hasPart(sent.Request.Prompt, "deadly") && sent.Model == "small":
				crashed = sent.Server.ID
				return lowConfidence(ctx, sent)
			case hasPart(sent.Request.Prompt, "deadly"):
				return nil, proxy.ErrUnsent
			case sent.Server.ID == crashed:
				crashed = ""
				return nil, proxy.ErrAnswerLost
			}
			return answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 95}, firstEvent, io.EOF)(ctx, sent)
		})
		serve := func(parts ...string) error {
			return h.serveParts(append(parts, "own")...)
		}
		for n := range 12 {
			var refusal relay.Refusal
			if errors.As(serve("popular", "deadly"), &refusal) && refusal.Reason == relay.ReasonQuarantined {
				return
			}
			time.Sleep(100 * time.Millisecond)
			for range 20 {
				assert.NilError(t, serve("popular", fmt.Sprint("rare", n)))
			}
			time.Sleep(2 * time.Second)
		}
		t.Error("the part was not quarantined")
	})
}

// Guards against a query of death: requests with one part of a prompt crashed server after server, as nothing
// connected the crashes and each lost request was sent to the next server.
func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, plainRoute(relay.RetryAlways), crashesOn(func(p []relay.Part) bool { return hasPart(p, "deadly") })).withNewServers()
		h.mustFindInTime(func(n int) {
			assert.NilError(t, h.serveParts("popular", fmt.Sprint("rare", n), fmt.Sprint("own", n)), "a sound request at %d", n)
		})
	})
}

// mustFindInTime serves requests with a deadly part, each followed by a call of serveOthers, and checks that the part is
// quarantined in time.
func (h *harness) mustFindInTime(serveOthers func(n int)) {
	h.t.Helper()
	deadlySends, lateSends := 0, 0
	var fifth time.Time
	for n := range 200 {
		before := len(h.backend.attempts)
		err := h.serveParts("popular", "deadly", fmt.Sprint("own", n))
		assert.Assert(h.t, err != nil)
		sends := len(h.backend.attempts) - before
		if deadlySends += sends; deadlySends >= 5 && fifth.IsZero() {
			fifth = time.Now()
		}
		if !fifth.IsZero() && time.Since(fifth) > detectionTime {
			lateSends += sends
		}
		if sends == 0 {
			refusal := h.mustRefuse(err)
			assert.Equal(h.t, refusal.Reason, relay.ReasonQuarantined)
			assert.Assert(h.t, refusal.NotRun && refusal.RetryAfter >= time.Second)
		}
		serveOthers(n)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(h.t, lateSends <= maxLateSends, "%d late sends", lateSends)
}

// Guards against a deadly part that is never found because it crashes all servers before the heads of their answers have
// come through: nothing else is answered either, but the servers come back in between, which an outage doesn't let them.
func TestPartThatCrashesAllServersBeforeAnyAnswerIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, plainRoute(relay.RetryNever), func(context.Context, attempt) (*answer, error) {
			time.Sleep(20 * time.Millisecond)
			return nil, proxy.ErrAnswerLost
		})
		h.mustFindInTime(func(int) {})
	})
}

// Guards against a request that crashes each server that it may be sent to before anything is known of its parts: servers
// that were lost as they began to answer it are evidence against it, those that merely were lost are not.
func TestRequestUnderWhichTwoServersWereLostAsTheyBeganToAnswerIsNotRetried(t *testing.T) {
	lostAfterHead := answerWith(answer{Status: 200, Signed: true, Stream: true}, "", errConnectionReset)
	lost := failsWith(proxy.ErrAnswerLost)
	for name, c := range map[string]struct {
		answers []func(context.Context, attempt) (*answer, error)
		isUp    bool
		sends   int
	}{
		"lost after the head":               {[]func(context.Context, attempt) (*answer, error){lostAfterHead, lostAfterHead, lost}, false, 2},
		"lost before":                       {[]func(context.Context, attempt) (*answer, error){lost, lostAfterHead, lost}, false, 3},
		"broken off by servers that are up": {[]func(context.Context, attempt) (*answer, error){lostAfterHead, lostAfterHead, lost}, true, 3},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, streamRoute(relay.RetryAlways), c.answers...)
			h.backend.isUp = c.isUp
			refusal := h.mustRefuse(h.servePrompt(t.Context(), h.writer, "shared", "own"))
			assert.Assert(t, !refusal.NotRun)
			assert.Equal(t, len(h.backend.attempts), c.sends)
		})
	}
}

// Guards against blaming what crashed servers merely shared: every server crashes at once, with a popular part in
// all their requests, and begins no answer for some seconds.
func TestPopularPartIsNotQuarantinedForOrdinaryCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isDown := false
		h := newHarness(t, plainRoute(relay.RetryAlways), crashesOn(func([]relay.Part) bool { return isDown })).withNewServers()
		for n := range 300 {
			isDown = n%100 < 40
			err := h.serveParts("popular", fmt.Sprint("own", n))
			assert.Equal(t, err != nil, isDown, "request %d: %v", n, err)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, !slices.Contains(h.recorder.kinds, proxy.DecisionPartQuarantined))
	})
}
