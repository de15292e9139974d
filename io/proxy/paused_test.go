package proxy_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/loop"
	"endivehitch/core/relay"
	"endivehitch/core/relay/cmds"
	"endivehitch/io/clock"
	"endivehitch/io/proxy"
)

// pausedInstance is an instance with a control loop, whose key "old" is taken away while it is paused.
type pausedInstance struct {
	t          *testing.T
	loop       *loop.Loop[relay.State, relay.Effect]
	dispatcher *proxy.Dispatcher[head]
	backend    *scriptedBackend
	// suspended is for how long the machine was suspended, a time.Duration.
	suspended atomic.Int64
	now       func() time.Time
}

func newPausedInstance(ctx context.Context, t *testing.T) *pausedInstance {
	t.Helper()
	p := &pausedInstance{t: t, backend: &scriptedBackend{answers: []func(context.Context, attempt) (*answer, error){answerWith(answer{Status: 200, Signed: true}, "done", io.EOF)}}}
	began := time.Now()
	steady, err := clock.NewSteady(clock.SteadyConfig{SinceBoot: func() (time.Duration, error) { return time.Since(began) + time.Duration(p.suspended.Load()), nil }})
	assert.NilError(t, err)
	p.now = steady.Now
	l, err := loop.New(loop.Config[relay.State, relay.Effect]{Initial: relay.New(relay.Member{Name: "n"}), Now: p.now, Mailbox: 4})
	assert.NilError(t, err)
	go l.Run(ctx)
	go func() {
		for range l.Effects() {
			continue
		}
	}()
	p.loop = l
	p.dispatcher, err = proxy.New(proxy.Config[head]{
		Backend: p.backend, Snapshot: l.Snapshot, Watch: l.Watch, Now: p.now, Recorder: new(recorder),
		RetryLimits:     func() proxy.RetryLimits { return proxy.RetryLimits{Window: time.Second} },
		SessionLifetime: time.Second, SessionPeers: noPeers{}, PartKeepers: noPeers{}, LimitKeepers: noPeers{},
	})
	assert.NilError(t, err)
	p.receiveFeed(ctx, 1, "old", "new")
	return p
}

// receiveFeed applies what the store answers: a configuration with an account that holds the keys.
func (p *pausedInstance) receiveFeed(ctx context.Context, revision int64, keys ...string) {
	p.t.Helper()
	route := plainRoute(relay.RetryNever)
	route.Open = false
	assert.NilError(p.t, p.loop.Do(ctx, cmds.ApplyFeed{FromStore: true, Feed: relay.Feed{Whole: true, Revision: revision, Changes: []relay.Change{
		{Key: "config", Revision: revision, Entry: relay.Entry{Config: &relay.Config{
			Version: revision, Routes: []relay.Route{route}, Services: []relay.Service{{Name: "app"}},
			Accounts: []relay.Account{{Name: "acme", Keys: keys}},
		}}},
		{Key: "s1", Revision: 1, Entry: relay.Entry{Server: &relay.Server{ID: "s1", Service: "app", Slots: 4}}},
	}}}))
}

func (p *pausedInstance) serve(ctx context.Context, key string) error {
	return p.serveRequest(ctx, relay.Request{
		ID: "q", Host: "h", Path: "/x", Key: key, Arrived: p.now(), CallerTimeout: 5 * time.Second,
	})
}

func (p *pausedInstance) serveRequest(ctx context.Context, request relay.Request) error {
	return p.dispatcher.Serve(ctx, proxy.Job[head]{Request: request}, new(responseWriter))
}

func refusalReason(t *testing.T, err error) relay.Reason {
	t.Helper()
	return (&harness{t: t}).mustRefuse(err).Reason
}

// An instance that was paused for some seconds wakes with requests in its connections, and with a state in
// which keys are valid that were taken away meanwhile.
func TestPausedInstanceAsksTheStoreBeforeItAdmits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPausedInstance(ctx, t)
		assert.NilError(t, p.serve(ctx, "old"))
		time.Sleep(10 * time.Second)
		time.AfterFunc(100*time.Millisecond, func() { p.receiveFeed(ctx, 2, "new") })
		assert.Equal(t, refusalReason(t, p.serve(ctx, "old")), relay.ReasonUnknownKey)
		assert.NilError(t, p.serve(ctx, "new"), "the instance serves again as soon as it has an answer")
		assert.Equal(t, len(p.backend.attempts), 2)
		// The command that brought the answer may not have returned yet.
		synctest.Wait()
		cancel()
		synctest.Wait()
	})
}

// Guards against an instance that honours a key which was taken away while its machine was suspended, and against
// deadlines that are off by that time afterwards.
func TestSuspendedInstanceAsksTheStoreBeforeItAdmits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPausedInstance(ctx, t)
		assert.NilError(t, p.serve(ctx, "old"))
		p.suspended.Store(int64(10 * time.Second))
		time.AfterFunc(100*time.Millisecond, func() { p.receiveFeed(ctx, 2, "new") })
		assert.Equal(t, refusalReason(t, p.serve(ctx, "old")), relay.ReasonUnknownKey)
		assert.NilError(t, p.serve(ctx, "new"))
		assert.Equal(t, p.backend.attempts[1].TimeLeft, 5*time.Second)
		p.backend.answers = []func(context.Context, attempt) (*answer, error){neverAnswers}
		began := time.Now()
		assert.Assert(t, p.serve(ctx, "new") != nil)
		assert.Equal(t, time.Since(began), 5*time.Second)
		cancel()
		synctest.Wait()
	})
}

func TestPausedInstanceWithoutAnswersSendsCallersElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPausedInstance(ctx, t)
		time.Sleep(10 * time.Second)
		refusal := (&harness{t: t}).mustRefuse(p.serve(ctx, "new"))
		assert.Equal(t, refusal.Reason, relay.ReasonUnconfirmed)
		assert.Assert(t, refusal.NotRun && refusal.RetryAfter > 0)
		assert.NilError(t, p.loop.Do(ctx, cmds.StoreUnreachable{Cause: "refused"}))
		assert.NilError(t, p.serve(ctx, "new"), "without the store, the last known state stays in force")
		cancel()
		synctest.Wait()
	})
}
