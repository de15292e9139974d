package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/proxy"
)

type head struct{ name string }

type (
	attempt = proxy.Attempt[head]
	answer  = proxy.Answer[head]
)

// scriptedBackend gives its answers in order, one for each attempt.
type scriptedBackend struct {
	mu sync.Mutex
	// attempts are those that were sent.
	attempts []attempt
	answers  []func(ctx context.Context, sent attempt) (*answer, error)
	// isUp is set if servers take connections after they have lost a request.
	isUp bool
	// isGone is set if servers refuse connections after an answer that ended with its connection.
	isGone bool
}

func (s *scriptedBackend) IsUp(context.Context, relay.Server) bool   { return s.isUp }
func (s *scriptedBackend) IsGone(context.Context, relay.Server) bool { return s.isGone }

// Send gives the next answer; the last one is given for all further attempts.
func (s *scriptedBackend) Send(ctx context.Context, sent attempt) (*answer, error) {
	s.mu.Lock()
	next := s.answers[min(len(s.attempts), len(s.answers)-1)]
	s.attempts = append(s.attempts, sent)
	s.mu.Unlock()
	return next(ctx, sent)
}

type responseWriter struct {
	head *answer
	body strings.Builder
}

func (w *responseWriter) WriteHead(a *answer) error {
	w.head = a
	return nil
}

func (w *responseWriter) Write(b []byte) error {
	w.body.Write(b)
	return nil
}

// recorder stores the kinds of decisions, and the last one.
type recorder struct {
	mu    sync.Mutex
	kinds []proxy.DecisionKind
	last  proxy.Decision
}

func (r *recorder) Record(d proxy.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds, r.last = append(r.kinds, d.Kind), d
}

// count returns how many decisions of the kind were recorded.
func (r *recorder) count(kind proxy.DecisionKind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, k := range r.kinds {
		if k == kind {
			n++
		}
	}
	return n
}

// harness runs a dispatcher for three servers of one service on a scripted backend.
type harness struct {
	t          *testing.T
	backend    *scriptedBackend
	writer     *responseWriter
	recorder   *recorder
	dispatcher *proxy.Dispatcher[head]
	latest     *policy.Cell[relay.State]
	// state, if set, returns the state that replaces the last one whenever it is read.
	state func(relay.State) relay.State
}

func plainRoute(rule relay.RetryRule) relay.Route {
	return relay.Route{
		Name: "r", Host: "h", Prefix: "/", Repeat: rule, Attempts: 3, Timeout: 10 * time.Second,
		Objective: time.Second, Open: true, Targets: []relay.Target{{Service: "app", Weight: 1}},
	}
}

func streamRoute(rule relay.RetryRule) relay.Route {
	r := plainRoute(rule)
	r.Stream, r.Gap, r.Objective = true, time.Second, 2*time.Second
	return r
}

func newHarness(t *testing.T, r relay.Route, answers ...func(context.Context, attempt) (*answer, error)) *harness {
	t.Helper()
	return newHarnessWithRoutes(t, []relay.Route{r}, answers...)
}

func newHarnessWithRoutes(t *testing.T, routes []relay.Route, answers ...func(context.Context, attempt) (*answer, error)) *harness {
	t.Helper()
	f := relay.Feed{Whole: true, Revision: 9, Changes: []relay.Change{{Key: "c", Revision: 1, Entry: relay.Entry{
		Config: &relay.Config{Version: 1, Routes: routes, Services: []relay.Service{{Name: "app"}}},
	}}}}
	for i, id := range []relay.ServerID{"s1", "s2", "s3"} {
		f.Changes = append(f.Changes, relay.Change{Key: string(id), Revision: int64(i + 2), Entry: relay.Entry{
			Server: &relay.Server{ID: id, Service: "app", Release: "v1", Slots: 4},
		}})
	}
	s := relay.New(relay.Member{Name: "n"}).WithFeed(f, time.Now(), 0)
	h := &harness{t: t, backend: &scriptedBackend{answers: answers}, writer: new(responseWriter), recorder: new(recorder)}
	h.latest = policy.NewCell(s)
	var err error
	h.dispatcher, err = proxy.New(proxy.Config[head]{
		Backend: h.backend, Snapshot: func() relay.State { return h.latest.Update(h.next) }, Watch: fixed(&s), Now: time.Now, Recorder: h.recorder,
		RetryLimits: func() proxy.RetryLimits {
			return proxy.RetryLimits{Window: 10 * time.Second, Ratio: 0.9, Allowance: 30}
		},
		SessionLifetime: time.Second, SessionPeers: noPeers{}, PartKeepers: noPeers{}, LimitKeepers: noPeers{},
	})
	assert.NilError(t, err)
	return h
}

func (h *harness) next(s relay.State) relay.State {
	if h.state == nil {
		return s
	}
	return h.state(s)
}

// apply applies a change of one server's entry in the store.
func (h *harness) apply(change relay.Change) {
	h.latest.Update(func(s relay.State) relay.State {
		change.Revision = s.Revision + 1
		return s.WithFeed(relay.Feed{After: s.Revision, Revision: change.Revision, Changes: []relay.Change{change}}, time.Now(), 0)
	})
}

// retainFor lets the time pass, and discards what is not known any longer each second.
func (h *harness) retainFor(length time.Duration) {
	for range length / time.Second {
		time.Sleep(time.Second)
		h.dispatcher.Retain(h.latest.Get())
	}
}

func (h *harness) serve(ctx context.Context) error {
	return h.serveTo(ctx, h.writer)
}

func (h *harness) serveTo(ctx context.Context, w proxy.ResponseWriter[head]) error {
	return h.servePrompt(ctx, w)
}

// servePrompt serves a request whose prompt has the parts.
func (h *harness) servePrompt(ctx context.Context, w proxy.ResponseWriter[head], parts ...string) error {
	request := newRequest("/x")
	for _, id := range parts {
		request.Prompt = append(request.Prompt, relay.Part{ID: id, Tokens: 1})
	}
	return h.dispatcher.Serve(ctx, proxy.Job[head]{Request: request}, w)
}

// servePath serves a request for the path, to a caller of its own.
func (h *harness) servePath(path string) error {
	return h.dispatcher.Serve(h.t.Context(), proxy.Job[head]{Request: newRequest(path)}, new(responseWriter))
}

func newRequest(path string) relay.Request {
	return relay.Request{ID: "q", Host: "h", Path: path, Arrived: time.Now(), CallerTimeout: 8 * time.Second}
}

// serveParts serves a request whose prompt has the parts, to a caller of its own.
func (h *harness) serveParts(parts ...string) error {
	return h.servePrompt(h.t.Context(), new(responseWriter), parts...)
}

// mustRefuse returns the refusal that the error must be.
func (h *harness) mustRefuse(err error) relay.Refusal {
	h.t.Helper()
	var r relay.Refusal
	assert.Assert(h.t, errors.As(err, &r), "%v", err)
	return r
}

// assertNoServerTwice checks that no server received the request twice.
func (h *harness) assertNoServerTwice() {
	h.t.Helper()
	received := make(map[relay.ServerID]bool)
	for _, sent := range h.backend.attempts {
		assert.Assert(h.t, !received[sent.Server.ID], "server %s received the request twice", sent.Server.ID)
		received[sent.Server.ID] = true
	}
}

// receivers returns the servers that received requests.
func (h *harness) receivers() map[relay.ServerID]bool {
	received := make(map[relay.ServerID]bool)
	for _, sent := range h.backend.attempts {
		received[sent.Server.ID] = true
	}
	return received
}

// withServersBornAt returns a change of the state by which all servers are incarnations that started at the time.
func withServersBornAt(born time.Time) func(relay.State) relay.State {
	return func(s relay.State) relay.State {
		feed := relay.Feed{After: s.Revision, Revision: s.Revision + 1}
		for _, server := range s.Servers("app") {
			if !server.Born.Equal(born) {
				server.Born = born
				feed.Changes = append(feed.Changes, relay.Change{Key: string(server.ID), Revision: feed.Revision, Entry: relay.Entry{Server: &server}})
			}
		}
		if len(feed.Changes) == 0 {
			return s
		}
		return s.WithFeed(feed, time.Now(), 0)
	}
}

// withMoreServers returns a change of the state that adds the servers x0, x1 and so on.
func withMoreServers(n int) func(relay.State) relay.State {
	return func(s relay.State) relay.State {
		if _, ok := s.Server("x0"); ok {
			return s
		}
		feed := relay.Feed{After: s.Revision, Revision: s.Revision + 1}
		for i := range n {
			server := &relay.Server{ID: relay.ServerID(fmt.Sprint("x", i)), Service: "app", Release: "v1", Slots: 4}
			feed.Changes = append(feed.Changes, relay.Change{Key: string(server.ID), Revision: feed.Revision, Entry: relay.Entry{Server: server}})
		}
		return s.WithFeed(feed, time.Now(), 0)
	}
}

func answerOK(body string) func(context.Context, attempt) (*answer, error) {
	return answerWith(answer{Status: 200, Signed: true}, body, io.EOF)
}

// answerWith answers with the head and the body, and ends the body with the error.
func answerWith(a answer, body string, endErr error) func(context.Context, attempt) (*answer, error) {
	return func(_ context.Context, sent attempt) (*answer, error) {
		b := a
		b.Head = head{name: string(sent.Server.ID)}
		if b.Confidence == 0 {
			b.Confidence = -1
		}
		b.Body = &truncatedBody{content: strings.NewReader(body), endErr: endErr}
		return &b, nil
	}
}

// truncatedBody returns its error in place of io.EOF.
type truncatedBody struct {
	content *strings.Reader
	endErr  error
}

func (t *truncatedBody) Read(b []byte) (int, error) {
	n, err := t.content.Read(b)
	if errors.Is(err, io.EOF) {
		return n, t.endErr
	}
	return n, err
}

func (t *truncatedBody) Close() error { return nil }

func failsWith(err error) func(context.Context, attempt) (*answer, error) {
	return func(context.Context, attempt) (*answer, error) { return nil, err }
}

// neverAnswers blocks until the attempt is cancelled.
func neverAnswers(ctx context.Context, _ attempt) (*answer, error) {
	<-ctx.Done()
	return nil, proxy.ErrAnswerLost
}

// noPeers stands for a fleet in which no other instance can be reached.
type noPeers struct{}

func (noPeers) LastRelease(context.Context, relay.Member, relay.SessionKey) (relay.Release, error) {
	return "", errConnectionReset
}

func (noPeers) ReportUse(context.Context, relay.Member, relay.SessionUse) error {
	return errConnectionReset
}

func (noPeers) ClaimSend(context.Context, relay.Member, relay.SendClaim) (relay.SendGrant, error) {
	return relay.SendGrant{}, errConnectionReset
}

func (noPeers) ClaimProbe(context.Context, relay.Member, query.Probe) (int, error) {
	return 0, errConnectionReset
}

// fixed watches a state that changes without notice.
func fixed(s *relay.State) func() (relay.State, <-chan struct{}) {
	return func() (relay.State, <-chan struct{}) { return *s, nil }
}
