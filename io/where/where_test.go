package where_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/engine"
	"endivehitch/core/relay/query"
	"endivehitch/core/relay/share"
	"endivehitch/core/value"
	"endivehitch/io/admin/route"
	"endivehitch/io/proxy"
	"endivehitch/io/where"
)

// explainer keeps the request that it was asked about.
type explainer struct{ asked relay.Request }

func (e *explainer) Explain(_ context.Context, request relay.Request) proxy.Explanation {
	e.asked = request
	return proxy.Explanation{
		Request: request, Revision: 7, Service: "app", Wait: 20 * time.Millisecond, Left: request.CallerTimeout,
		Verdict:  &share.Verdict{Admitted: true, Share: 0.5, Pressure: 0.3},
		Admitted: query.Admitted{Route: relay.Route{Name: "chat"}, Account: relay.Account{Name: "acme"}, Rank: 2},
		Servers: []query.Considered{
			{Server: relay.Server{ID: "s1", Domain: "d1"}, Chance: 1, Estimate: engine.Estimate{Wait: time.Millisecond, Read: 2 * time.Millisecond}, Held: 0.8},
			{Server: relay.Server{ID: "s2", Domain: "d2"}, Exclusion: query.ExclusionDraining},
		},
	}
}

// serve serves the route of an instance with one route and one client account.
func serve(t *testing.T) (*explainer, route.Client) {
	t.Helper()
	state := relay.New(relay.Member{Name: "n1", Domain: "d1"}).WithFeed(relay.Feed{Whole: true, Revision: 7, Changes: []relay.Change{
		{Key: "c", Revision: 1, Entry: relay.Entry{Config: &relay.Config{
			Version: 1, Routes: []relay.Route{{Name: "chat", Host: "h", Prefix: "/chat/"}},
			Accounts: []relay.Account{{Name: "acme", Keys: []string{"secret"}}},
		}}},
	}}, time.Now(), 0)
	asked := new(explainer)
	r := where.NewRoute(where.Config{Explainer: asked, Snapshot: func() relay.State { return state }, Now: time.Now})
	server := httptest.NewServer(r.Handler)
	t.Cleanup(server.Close)
	return asked, route.Client{Base: server.URL, HTTP: server.Client()}
}

// Guards against a question that reaches the queries as another request than the operator asked about.
func TestQuestionBecomesTheRequest(t *testing.T) {
	asked, client := serve(t)
	answer, err := where.Fetch(t.Context(), client, where.Question{
		Route: "chat", Account: "acme", Model: "m", Prompt: "system:568,own:1800", Output: "50", Deadline: "8s", Session: "s", Request: "q1",
	})
	assert.NilError(t, err)
	asked.asked.Arrived = time.Time{}
	assert.DeepEqual(t, asked.asked, relay.Request{
		ID: "q1", Method: "POST", Host: "h", Path: "/chat/", Key: "secret", Model: "m", Session: "s", Input: 2368, Output: 50,
		CallerTimeout: 8 * time.Second, Prompt: []relay.Part{{ID: "system", Tokens: 568}, {ID: "own", Tokens: 1800}},
	})
	assert.Equal(t, answer.Server, "s1")
	assert.Equal(t, answer.Eligible, 1)
	assert.DeepEqual(t, answer.Excluded, map[string]int{"Draining": 1})
	assert.Equal(t, answer.ExpectedWaitMs, 20.0)
	assert.DeepEqual(t, answer.Admission, &where.Admission{Pressure: 0.3, Share: 0.5})
	assert.DeepEqual(t, answer.Servers[0].Estimate, &where.Estimate{WaitMs: 1, ReadMs: 2, HeldShare: 0.8})
	assert.Assert(t, answer.Servers[1].IsRemote && answer.Servers[1].Estimate == nil)
}

// Guards against an error that doesn't say which argument is wrong.
func TestErrorNamesTheArgument(t *testing.T) {
	_, client := serve(t)
	for argument, questions := range map[string][]where.Question{
		"route":    {{}, {Host: "h"}, {Route: "odd"}, {Route: "chat", Path: "/"}},
		"path":     {{Host: "h", Path: "x"}},
		"account":  {{Route: "chat", Account: "odd"}},
		"prompt":   {{Route: "chat", Prompt: "a"}, {Route: "chat", Prompt: "a:1,:2"}, {Route: "chat", Prompt: "a:-1"}},
		"input":    {{Route: "chat", Input: "many"}},
		"output":   {{Route: "chat", Output: "-1"}},
		"deadline": {{Route: "chat", Deadline: "8"}, {Route: "chat", Deadline: "-8s"}},
	} {
		for _, q := range questions {
			_, err := where.Fetch(t.Context(), client, q)
			var wrong where.ArgumentError
			assert.Assert(t, errors.As(err, &wrong), "%+v: %v", q, err)
			assert.Equal(t, wrong.Argument, argument)
		}
	}
}

// Guards against an instance that can't be reached passing for a wrong question.
func TestInstanceThatCannotBeReachedIsUnavailable(t *testing.T) {
	_, client := serve(t)
	client.Base = "http://127.0.0.1:1"
	_, err := where.Fetch(t.Context(), client, where.Question{Route: "chat"})
	var unavailable value.ChangeUnavailable
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}
