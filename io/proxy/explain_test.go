package proxy_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/proxy"
)

// pausedFor answers like a server that turns the request away and asks for a pause.
func pausedFor(pause time.Duration) func(context.Context, attempt) (*answer, error) {
	return answerWith(answer{Status: 503, NotRun: true, Signed: true, Backpressure: relay.Backpressure{RetryAfter: pause}}, "", nil)
}

func prompted(request relay.Request, parts ...string) relay.Request {
	for _, id := range parts {
		request.Prompt = append(request.Prompt, relay.Part{ID: id, Tokens: 100})
	}
	return request
}

// Guards against an explanation that says something else than the instance does.
func TestNextRequestGoesWhereTheExplanationSays(t *testing.T) {
	cascade := plainRoute(relay.RetryNever)
	cascade.Models = []relay.ModelName{"small", "medium", "large"}
	pause := pausedFor(time.Minute)
	allPaused := []func(context.Context, attempt) (*answer, error){pause, pause, pause}
	cases := map[string]struct {
		route   relay.Route
		state   func(relay.State) relay.State
		request relay.Request
		// before are the answers to requests that were served earlier.
		before []func(context.Context, attempt) (*answer, error)
		// isCertain is set if the random draws can't change the choice.
		isCertain bool
		refusal   relay.Reason
	}{
		"no difference":         {route: plainRoute(relay.RetryAlways), request: newRequest("/x")},
		"shared part":           {route: plainRoute(relay.RetryAlways), request: prompted(newRequest("/x"), "p", "own"), isCertain: true},
		"one server left":       {route: plainRoute(relay.RetryAlways), state: withDraining("s1", "s3"), request: newRequest("/x"), isCertain: true},
		"model of a single run": {route: cascade, state: withDraining("s1", "s3"), request: newRequest("/x"), isCertain: true},
		"session":               {route: plainRoute(relay.RetryAlways), state: withDraining("s2", "s3"), request: relay.Request{ID: "q", Host: "h", Path: "/", Session: "s"}, isCertain: true},
		"paused servers":        {route: plainRoute(relay.RetryAlways), request: newRequest("/x"), before: allPaused[:2], isCertain: true},
		"all servers paused":    {route: plainRoute(relay.RetryAlways), request: newRequest("/x"), before: allPaused, refusal: relay.ReasonSaturated},
		"no server":             {route: plainRoute(relay.RetryAlways), state: withDraining("s1", "s2", "s3"), request: newRequest("/x"), refusal: relay.ReasonNoServer},
		"no route":              {route: plainRoute(relay.RetryAlways), request: relay.Request{ID: "q", Host: "other", Path: "/"}, refusal: relay.ReasonNoRoute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.route, append(slices.Clone(c.before), answerOK("done"))...)
			h.state = c.state
			for range len(c.before) {
				_ = h.serve(t.Context())
			}
			sent := len(h.backend.attempts)
			explained := h.dispatcher.Explain(t.Context(), c.request)
			err := h.dispatcher.Serve(t.Context(), proxy.Job[head]{Request: c.request}, new(responseWriter))
			if c.refusal != "" {
				assert.Equal(t, h.mustRefuse(err).Reason, c.refusal)
				assert.Equal(t, explained.Refusal.Reason, c.refusal)
				assert.Equal(t, explained.Refusal.Detail, h.mustRefuse(err).Detail)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, explained.Refusal == nil)
			received := h.backend.attempts[sent]
			assert.Equal(t, chanceOf(explained, received.Server.ID) > 0, true)
			assert.Equal(t, chanceOf(explained, received.Server.ID) > 0.999, c.isCertain, "%+v", explained.Servers)
			assert.Equal(t, received.Model, explained.Model)
		})
	}
}

func chanceOf(e proxy.Explanation, id relay.ServerID) float64 {
	for _, considered := range e.Servers {
		if considered.Server.ID == id {
			return considered.Chance
		}
	}
	return 0
}

// Guards against an explanation that counts as a request, or uses up what a server's limit leaves.
func TestExplanationHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := answerWith(answer{Status: 200, Signed: true, Backpressure: relay.Backpressure{HasLimit: true, Limit: 1}}, "done", io.EOF)
		h := newHarness(t, plainRoute(relay.RetryAlways), limited)
		h.state = withDraining("s2", "s3")
		assert.NilError(t, h.serve(t.Context()))
		assert.Equal(t, h.mustRefuse(h.serve(t.Context())).Reason, relay.ReasonSaturated, "the account of a limit begins empty")
		time.Sleep(2 * time.Second)
		decisions, tallies := len(h.recorder.kinds), h.dispatcher.Tallies()
		for n := range 100 {
			request := prompted(newRequest("/x"), "p", fmt.Sprint("own", n))
			request.Session = fmt.Sprint("s", n)
			explained := h.dispatcher.Explain(t.Context(), request)
			assert.Equal(t, explained.Servers[0].Exclusion, query.ExclusionNone)
			assert.Equal(t, explained.LimitKeeper, relay.MemberName("n"))
		}
		assert.Equal(t, len(h.recorder.kinds), decisions)
		assert.DeepEqual(t, h.dispatcher.Tallies(), tallies)
		assert.Equal(t, len(h.dispatcher.PartReports()), 0)
		assert.NilError(t, h.serve(t.Context()), "the limit leaves room for one request")
		assert.Equal(t, len(h.backend.attempts), 2)
	})
}

// Guards against an explanation without the reason why a server gets nothing.
func TestExplanationSaysWhyServersAreLeftOut(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryAlways), pausedFor(time.Minute), answerOK("done"))
	assert.NilError(t, h.serve(t.Context()))
	h.state = withDraining(h.backend.attempts[1].Server.ID)
	why := make(map[relay.ServerID]query.Exclusion)
	for _, considered := range h.dispatcher.Explain(t.Context(), newRequest("/x")).Servers {
		why[considered.Server.ID] = considered.Exclusion
	}
	assert.Equal(t, why[h.backend.attempts[0].Server.ID], query.ExclusionPaused)
	assert.Equal(t, why[h.backend.attempts[1].Server.ID], query.ExclusionDraining)
	assert.Equal(t, len(why), 3)
}

// Guards against an explanation that leaves out the admission, decides it otherwise than the instance, or counts it.
func TestExplanationAsksForTheAdmissionWithoutCountingIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := plainRoute(relay.RetryAlways)
		h := newHarness(t, route, answerOK("done"))
		h.state = withService(relay.Service{Engine: true, KVTokens: 1000}, route)
		const requests = 200
		refused := 0
		for i := range requests {
			h.reportQueue(10_000)
			request := newRequest("/x")
			request.ID = fmt.Sprint(i)
			before := h.dispatcher.OwnUse()
			var explained proxy.Explanation
			for range 2 {
				explained = h.dispatcher.Explain(t.Context(), request)
			}
			assert.DeepEqual(t, h.dispatcher.OwnUse(), before)
			err := h.dispatcher.Serve(t.Context(), proxy.Job[head]{Request: request}, new(responseWriter))
			assert.Equal(t, explained.Verdict.Admitted, err == nil)
			if err != nil {
				refused++
				assert.DeepEqual(t, *explained.Refusal, h.mustRefuse(err))
			}
		}
		assert.Assert(t, refused > requests/2 && refused < requests, "%d refused", refused)
	})
}
