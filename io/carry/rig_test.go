package carry_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/carry"
)

type head struct{ name string }

type (
	run    = carry.Run[head]
	answer = carry.Answer[head]
)

// script answers the sends of one test in turn.
type script struct {
	mu    sync.Mutex
	sends []run
	turns []func(ctx context.Context, r run) (*answer, error)
}

// Send plays the next turn; the last one is played for all further sends.
func (s *script) Send(ctx context.Context, r run) (*answer, error) {
	s.mu.Lock()
	turn := s.turns[min(len(s.sends), len(s.turns)-1)]
	s.sends = append(s.sends, r)
	s.mu.Unlock()
	return turn(ctx, r)
}

type sink struct {
	head *answer
	body strings.Builder
}

func (s *sink) Begin(a *answer) error {
	s.head = a
	return nil
}

func (s *sink) Write(b []byte) error {
	s.body.Write(b)
	return nil
}

type recorder struct {
	mu   sync.Mutex
	what []carry.What
}

func (r *recorder) Record(d carry.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.what = append(r.what, d.What)
}

type rig struct {
	t        *testing.T
	script   *script
	sink     *sink
	recorder *recorder
	carrier  *carry.Carrier[head]
}

func plain(repeat relay.Repeat) relay.Route {
	return relay.Route{
		Name: "r", Host: "h", Prefix: "/", Repeat: repeat, Attempts: 3, Timeout: 10 * time.Second,
		Objective: time.Second, Open: true, Targets: []relay.Target{{Service: "app", Weight: 1}},
	}
}

func streamed(repeat relay.Repeat) relay.Route {
	r := plain(repeat)
	r.Stream, r.Gap, r.Objective = true, time.Second, 2*time.Second
	return r
}

func newRig(t *testing.T, r relay.Route, turns ...func(context.Context, run) (*answer, error)) *rig {
	t.Helper()
	f := relay.Feed{Whole: true, Revision: 9, Changes: []relay.Change{{Key: "c", Revision: 1, Entry: relay.Entry{
		Config: &relay.Config{Version: 1, Routes: []relay.Route{r}, Services: []relay.Service{{Name: "app"}}},
	}}}}
	for i, id := range []relay.ServerID{"s1", "s2", "s3"} {
		f.Changes = append(f.Changes, relay.Change{Key: string(id), Revision: int64(i + 2), Entry: relay.Entry{
			Server: &relay.Server{ID: id, Service: "app", Release: "v1", Slots: 4},
		}})
	}
	s := relay.New(relay.Member{Name: "n"}).WithFeed(f, time.Now(), 0)
	g := &rig{t: t, script: &script{turns: turns}, sink: new(sink), recorder: new(recorder)}
	var err error
	g.carrier, err = carry.New(carry.Config[head]{
		Backend: g.script, Snapshot: func() relay.State { return s }, Now: time.Now, Recorder: g.recorder,
		Repeats: func() carry.Repeats { return carry.Repeats{Window: 10 * time.Second, Ratio: 0.9, Allowance: 30} }, Session: time.Second,
	})
	assert.NilError(t, err)
	return g
}

func (g *rig) serve(ctx context.Context) error {
	return g.serveTo(ctx, g.sink)
}

func (g *rig) serveTo(ctx context.Context, s *sink) error {
	return g.carrier.Serve(ctx, carry.Job[head]{
		Request: relay.Request{ID: "q", Host: "h", Path: "/x", Arrived: time.Now(), Patience: 8 * time.Second},
	}, s)
}

func (g *rig) refusal(err error) relay.Refusal {
	g.t.Helper()
	var r relay.Refusal
	assert.Assert(g.t, errors.As(err, &r), "%v", err)
	return r
}

// sentOnceEach checks that no server got the request twice.
func (g *rig) sentOnceEach() {
	g.t.Helper()
	seen := make(map[relay.ServerID]bool)
	for _, r := range g.script.sends {
		assert.Assert(g.t, !seen[r.Server.ID], "server %s got the request twice", r.Server.ID)
		seen[r.Server.ID] = true
	}
}

func good(body string) func(context.Context, run) (*answer, error) {
	return with(answer{Status: 200, Signed: true}, body, io.EOF)
}

// with answers with the head, the body, and then the error in place of more.
func with(a answer, body string, end error) func(context.Context, run) (*answer, error) {
	return func(_ context.Context, r run) (*answer, error) {
		b := a
		b.Head = head{name: string(r.Server.ID)}
		if b.Confidence == 0 {
			b.Confidence = -1
		}
		b.Body = &cutBody{rest: strings.NewReader(body), end: end}
		return &b, nil
	}
}

type cutBody struct {
	rest *strings.Reader
	end  error
}

func (c *cutBody) Read(b []byte) (int, error) {
	n, err := c.rest.Read(b)
	if errors.Is(err, io.EOF) {
		return n, c.end
	}
	return n, err
}

func (c *cutBody) Close() error { return nil }

func fails(err error) func(context.Context, run) (*answer, error) {
	return func(context.Context, run) (*answer, error) { return nil, err }
}

// silent never answers.
func silent(ctx context.Context, _ run) (*answer, error) {
	<-ctx.Done()
	return nil, carry.ErrLost
}
