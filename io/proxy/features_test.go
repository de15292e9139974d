package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

// routeKind is a kind of route as far as the runs of a request go.
type routeKind string

const (
	safe          routeKind = "safe"
	runsOnce      routeKind = "runs once"
	resumable     routeKind = "stream with resumption"
	notResumable  routeKind = "stream without resumption"
	onlyOneRuns             = "an attempt is cancelled before the next is sent, so that two never run at once"
	plainIsWhole            = "the caller gets nothing of a plain answer before it is whole, so there is nothing to resume"
	plainHasNoEnd           = "a plain answer is bounded by its deadline, and none of it could be kept"
)

var routeKinds = map[routeKind]relay.Route{
	safe: plainRoute(relay.RetryAlways), runsOnce: plainRoute(relay.RetryNever),
	resumable: streamRoute(relay.RetryResuming), notResumable: streamRoute(relay.RetryNever),
}

// cell says what becomes of a request of one kind of route where one feature has to act.
type cell struct {
	// runs is how often servers run the request; it may run again where that is over 1.
	runs int
	// impossible says why the feature can't act on such a request; the runs are those without it.
	impossible string
}

type send = func(context.Context, attempt) (*answer, error)

// feature is a reason for another attempt, or for none.
type feature struct {
	// answers are those to the attempts, for a route that has streams or not.
	answers func(stream bool) []send
	models  []relay.ModelName
	// endsAfter is when the instance ends; zero means that it doesn't.
	endsAfter time.Duration
	// earlier is the number of requests before the one that is looked at, and state a change of the state.
	earlier int
	state   func(relay.State) relay.State
	cells   map[routeKind]cell
}

// whole is a complete answer.
func whole(stream bool) send {
	if stream {
		return streamAnswer(secondEvent, io.EOF)
	}
	return answerOK("done")
}

// declined is the answer of a server that has not run the request, with the status and what the server asks for.
func declined(status int, asked relay.Backpressure) send {
	return answerWith(answer{Status: status, Signed: true, NotRun: true, Backpressure: asked}, "", io.EOF)
}

func unsure(stream bool) send {
	return func(ctx context.Context, sent attempt) (*answer, error) {
		a := answer{Status: 200, Signed: true, Stream: stream, Confidence: 90}
		if sent.Model == "small" {
			a.Confidence = 5
		}
		return answerWith(a, secondEvent, io.EOF)(ctx, sent)
	}
}

func first(answer send) func(bool) []send {
	return func(stream bool) []send { return []send{answer, whole(stream)} }
}

func all(runs int) map[routeKind]cell {
	return map[routeKind]cell{safe: {runs: runs}, runsOnce: {runs: runs}, resumable: {runs: runs}, notResumable: {runs: runs}}
}

var features = map[string]feature{
	"retry": {
		answers: first(failsWith(proxy.ErrAnswerLost)),
		cells:   map[routeKind]cell{safe: {runs: 2}, runsOnce: {runs: 1}, resumable: {runs: 2}, notResumable: {runs: 1}},
	},
	"hedge": {
		answers: first(neverAnswers),
		cells: map[routeKind]cell{
			safe: {runs: 2, impossible: onlyOneRuns}, runsOnce: {runs: 1, impossible: onlyOneRuns},
			resumable: {runs: 2, impossible: onlyOneRuns}, notResumable: {runs: 1, impossible: onlyOneRuns},
		},
	},
	"step-up": {
		answers: func(stream bool) []send { return []send{unsure(stream)} }, models: []relay.ModelName{"small", "large"},
		cells: map[routeKind]cell{safe: {runs: 2}, runsOnce: {runs: 1}, resumable: {runs: 2}, notResumable: {runs: 1}},
	},
	"resumption": {
		answers: func(stream bool) []send {
			return []send{answerWith(answer{Status: 200, Signed: true, Stream: stream}, firstEvent, errConnectionReset), whole(stream)}
		},
		cells: map[routeKind]cell{
			safe: {runs: 2, impossible: plainIsWhole}, runsOnce: {runs: 1, impossible: plainIsWhole}, resumable: {runs: 2}, notResumable: {runs: 1},
		},
	},
	"rescue": {
		answers: func(stream bool) []send {
			return []send{pacedAnswer(answer{Stream: stream}, pacedBody{pieces: []string{firstEvent}, pause: 900 * time.Millisecond}), whole(stream)}
		},
		cells: map[routeKind]cell{
			safe: {runs: 2, impossible: plainHasNoEnd}, runsOnce: {runs: 1, impossible: plainHasNoEnd}, resumable: {runs: 2}, notResumable: {runs: 1},
		},
	},
	// The account of a limit begins empty, so that the only server has no room for the second request.
	"limit": {
		answers: func(stream bool) []send {
			return []send{answerWith(answer{Status: 200, Signed: true, Stream: stream, Backpressure: relay.Backpressure{HasLimit: true, Limit: 1}}, secondEvent, io.EOF)}
		},
		state: withDraining("s2", "s3"), earlier: 1, cells: all(0),
	},
	"pause": {answers: first(declined(503, relay.Backpressure{RetryAfter: time.Minute})), cells: all(1)},
	"cold":  {answers: first(declined(421, relay.Backpressure{})), cells: all(1)},
	// The keeper's account of a cold server begins empty, so that it denies the request.
	"cold, denied by its keeper": {answers: func(stream bool) []send { return []send{whole(stream)} }, state: withColdServers, cells: all(0)},
	// The only server that is not evacuated loses the answer, and a retry may reach none of the others.
	"evacuation":        {answers: first(failsWith(proxy.ErrAnswerLost)), state: withEvacuated("s2", "s3"), cells: all(1)},
	"evacuation of all": {answers: func(stream bool) []send { return []send{whole(stream)} }, state: withEvacuated("s1", "s2", "s3"), cells: all(0)},
	// A server that shuts down, and an instance that ends while a request is under way.
	"server leaving":   {answers: first(declined(503, relay.Backpressure{Leaving: true})), cells: all(1)},
	"instance leaving": {answers: first(neverAnswers), endsAfter: 100 * time.Millisecond, cells: all(1)},
}

// withEvacuated returns a change of the state that evacuates the servers' failure domain.
func withEvacuated(ids ...relay.ServerID) func(relay.State) relay.State {
	return func(s relay.State) relay.State {
		if len(s.Evacuations()) > 0 {
			return s
		}
		var entries []relay.Entry
		for _, id := range ids {
			server, _ := s.Server(id)
			server.Domain = "z"
			entries = append(entries, relay.Entry{Server: &server})
		}
		return withEntries(s, append(entries, relay.Entry{Evacuation: &relay.Evacuation{Domain: "z"}}))
	}
}

// withColdServers returns a state in which all servers are cold, and this instance is their keeper.
func withColdServers(s relay.State) relay.State {
	if len(s.Members()) > 0 {
		return s
	}
	config := s.Config
	config.Version++
	config.Services = []relay.Service{{Name: "app", ColdPerSecond: 1, ColdTime: time.Minute}}
	entries := []relay.Entry{{Config: &config}, {Member: &s.Self}}
	for _, server := range s.Servers("app") {
		server.Cold = time.Minute
		entries = append(entries, relay.Entry{Server: &server})
	}
	return withEntries(s, entries)
}

// withEntries returns the state with the entries, under the keys of the harness.
func withEntries(s relay.State, entries []relay.Entry) relay.State {
	feed := relay.Feed{After: s.Revision, Revision: s.Revision + 1}
	for _, e := range entries {
		key := "c"
		switch {
		case e.Server != nil:
			key = string(e.Server.ID)
		case e.Member != nil:
			key = "m"
		case e.Evacuation != nil:
			key = "e"
		}
		feed.Changes = append(feed.Changes, relay.Change{Key: key, Revision: feed.Revision, Entry: e})
	}
	return s.WithFeed(feed, time.Now(), 0)
}

// counted counts the attempts that a server runs, and those that began while an earlier one was under way.
type counted struct {
	attempts       []context.Context
	runs, overlaps int
}

func (c *counted) wrap(next send) send {
	return func(ctx context.Context, sent attempt) (*answer, error) {
		for _, earlier := range c.attempts {
			if earlier.Err() == nil {
				c.overlaps++
			}
		}
		c.attempts = append(c.attempts, ctx)
		a, err := next(ctx, sent)
		if !errors.Is(err, proxy.ErrUnsent) && (a == nil || !a.NotRun) {
			c.runs++
		}
		return a, err
	}
}

// Guards against a request that runs more often than its route allows, or less often than its caller may expect, for any
// feature that sends it again or keeps it from being sent.
func TestEachKindOfRouteRunsAsOftenAsItsFeatureAllows(t *testing.T) {
	for name, f := range features {
		assert.Equal(t, len(f.cells), len(routeKinds), name)
		for kind, want := range f.cells {
			t.Run(fmt.Sprint(name, ", ", kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { f.check(t, routeKinds[kind], want) })
			})
		}
	}
}

func (f feature) check(t *testing.T, route relay.Route, want cell) {
	t.Helper()
	count := new(counted)
	var answers []send
	for _, each := range f.answers(route.Stream) {
		answers = append(answers, count.wrap(each))
	}
	route.Models = f.models
	h := newHarness(t, route, answers...)
	h.state = f.state
	for range f.earlier {
		assert.NilError(t, h.serveTo(t.Context(), new(responseWriter)))
	}
	*count = counted{}
	ctx, end := context.WithCancelCause(t.Context())
	defer end(nil)
	if f.endsAfter > 0 {
		time.AfterFunc(f.endsAfter, func() { end(proxy.ErrInstanceEnds) })
	}
	err := h.serve(ctx)
	assert.Equal(t, count.runs, want.runs, "the request ended with %v; impossible: %q", err, want.impossible)
	assert.Equal(t, count.overlaps, 0, onlyOneRuns)
	assert.Assert(t, want.runs < 2 || route.IsRepeatable(), "a request that may run once ran %d times", want.runs)
	var refusal relay.Refusal
	if errors.As(err, &refusal) {
		assert.Equal(t, refusal.NotRun, want.runs == 0, "a refusal must say whether the request ran")
	}
}
