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

// fleet is several instances that follow one state and reach one another.
type fleet struct {
	instances map[relay.MemberName]*proxy.Dispatcher[head]
	backend   *scriptedBackend
	feed      relay.Feed
	observed  time.Time
	// cut is set while no instance reaches another, and gone names one that none reaches.
	cut  bool
	gone relay.MemberName
	// asked counts the records that were asked for.
	asked int
}

func (f *fleet) LastRelease(_ context.Context, keeper relay.Member, key relay.SessionKey) (relay.Release, error) {
	f.asked++
	if f.cut {
		return "", errConnectionReset
	}
	return f.instances[keeper.Name].LastRelease(key), nil
}

func (f *fleet) ReportUse(_ context.Context, keeper relay.Member, use relay.SessionUse) error {
	if !f.cut {
		f.instances[keeper.Name].RecordUse(use)
	}
	return nil
}

func (f *fleet) ClaimSend(_ context.Context, keeper relay.Member, claim relay.SendClaim) (relay.SendGrant, error) {
	if f.cut || keeper.Name == f.gone {
		return relay.SendGrant{}, errConnectionReset
	}
	return f.instances[keeper.Name].GrantSend(claim), nil
}

// limitKeeper returns the instance that keeps the limit of the only server.
func (f *fleet) limitKeeper() relay.MemberName {
	return query.LimitKeeper(f.state("n0"), "old").Name
}

// remove removes the instance from the list of members.
func (f *fleet) remove(name relay.MemberName) {
	f.feed.Changes = slices.DeleteFunc(f.feed.Changes, func(c relay.Change) bool {
		return c.Entry.Member != nil && c.Entry.Member.Name == name
	})
	f.feed.Revision++
}

func (f *fleet) ClaimProbe(_ context.Context, keeper relay.Member, probe query.Probe) (int, error) {
	if f.cut || keeper.Name == f.gone {
		return 0, errConnectionReset
	}
	return f.instances[keeper.Name].GrantProbe(probe), nil
}

func (f *fleet) state(name relay.MemberName) relay.State {
	return relay.New(relay.Member{Name: name}).WithFeed(f.feed, f.observed, 0)
}

func (f *fleet) put(entries ...relay.Entry) {
	for _, e := range entries {
		f.feed.Revision++
		f.feed.Changes = append(f.feed.Changes, relay.Change{Key: fmt.Sprint(f.feed.Revision), Revision: f.feed.Revision, Entry: e})
	}
	f.observed = time.Now()
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{instances: make(map[relay.MemberName]*proxy.Dispatcher[head]), feed: relay.Feed{Whole: true}}
	f.backend = &scriptedBackend{answers: []func(context.Context, attempt) (*answer, error){streamAnswer(firstEvent, io.EOF)}}
	f.put(
		relay.Entry{Config: &relay.Config{Version: 1, Routes: []relay.Route{streamRoute(relay.RetryResuming)}, Services: []relay.Service{{Name: "app"}}}},
		relay.Entry{Server: &relay.Server{ID: "old", Service: "app", Release: "v1", Slots: 4}})
	for i := range size {
		name := relay.MemberName(fmt.Sprint("n", i))
		f.put(relay.Entry{Member: &relay.Member{Name: name, Address: string(name)}})
		var err error
		f.instances[name], err = proxy.New(proxy.Config[head]{
			Backend:  f.backend,
			Snapshot: func() relay.State { return f.state(name) }, Now: time.Now,
			Watch:    func() (relay.State, <-chan struct{}) { return f.state(name), nil },
			Recorder: new(recorder), SessionLifetime: 8 * time.Second,
			RetryLimits: func() proxy.RetryLimits { return proxy.RetryLimits{Window: time.Second} }, SessionPeers: f, PartKeepers: f, LimitKeepers: f,
		})
		assert.NilError(t, err)
	}
	return f
}

// order gives the order to roll out v2.
func (f *fleet) order() {
	f.put(
		relay.Entry{Server: &relay.Server{ID: "new", Service: "app", Release: "v2", Slots: 4}},
		relay.Entry{RollOut: &relay.RollOut{Service: "app", Target: "v2", Within: time.Minute}})
}

// serve serves a request of the session at the instance and returns the release that ran it.
func (f *fleet) serve(t *testing.T, at relay.MemberName, session string) relay.Release {
	t.Helper()
	w := new(responseWriter)
	assert.NilError(t, f.instances[at].Serve(t.Context(), proxy.Job[head]{Request: relay.Request{
		ID: "q", Host: "h", Path: "/x", Arrived: time.Now(), Session: session, CallerTimeout: 5 * time.Second,
	}}, w))
	server, ok := f.state(at).Server(relay.ServerID(w.head.Head.name))
	assert.Assert(t, ok)
	return server.Release
}

// canarySessions returns sessions that a release in its canary period receives.
func (f *fleet) canarySessions(n int) []string {
	var found []string
	for i := 0; len(found) < n; i++ {
		if name := fmt.Sprint("session-", i); query.IsCanarySession(f.state("n0"), name) {
			found = append(found, name)
		}
	}
	return found
}

// In a large fleet nearly every request of a session reaches another instance, which doesn't know the
// session. It must not be moved to a new release in the first half of its roll-out.
func TestSessionOfAnotherInstanceStaysAtItsReleaseDuringTheCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 61)
		sessions := f.canarySessions(20)
		for _, s := range sessions {
			assert.Equal(t, f.serve(t, "n1", s), relay.Release("v1"))
		}
		synctest.Wait()
		f.order()
		for i, s := range sessions {
			at := relay.MemberName(fmt.Sprint("n", 2+i))
			assert.Equal(t, f.serve(t, at, s), relay.Release("v1"), "session %s at %s", s, at)
		}
		for _, s := range f.canarySessions(40)[20:] {
			assert.Equal(t, f.serve(t, "n3", s), relay.Release("v2"), "a new session is a canary")
			synctest.Wait()
			assert.Equal(t, f.serve(t, "n4", s), relay.Release("v2"), "and stays one")
		}
	})
}

func TestSessionWithoutARecordStaysAtTheReleaseBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 61)
		f.order()
		f.cut = true
		session := f.canarySessions(1)[0]
		for _, at := range []relay.MemberName{"n5", "n6"} {
			assert.Equal(t, f.serve(t, at, session), relay.Release("v1"))
		}
	})
}

// Other instances are asked in the canary period only, and for the few sessions that matter.
func TestRecordsAreAskedForOnlyWhereTheyDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 61)
		canaries := f.canarySessions(10)
		for _, s := range canaries {
			f.serve(t, "n1", s)
		}
		assert.Equal(t, f.asked, 0, "there is no roll-out")
		f.order()
		for i := range 200 {
			f.serve(t, "n2", fmt.Sprint("other-", i))
		}
		assert.Assert(t, f.asked < 20, "asked %d times for 200 sessions", f.asked)
	})
}

// quarantine tells all instances of a quarantined part.
func (f *fleet) quarantine(part relay.PartID) {
	report := relay.ReportOf(part, crashedServers(3).WithQuarantine(time.Now()), time.Now())
	for _, instance := range f.instances {
		instance.MergePartReports([]relay.PartReport{report})
	}
}

// serveAsProbe serves a request with the part at the instance that is no keeper of probes, and returns the instance.
func (f *fleet) serveAsProbe(ctx context.Context, part string) (*proxy.Dispatcher[head], error) {
	keepers := query.ProbeKeepers(f.state("n0"))
	for name, instance := range f.instances {
		if name == keepers[0].Name || name == keepers[1].Name {
			continue
		}
		request := relay.Request{ID: "q", Host: "h", Path: "/x", Arrived: time.Now(), CallerTimeout: 5 * time.Second, Prompt: []relay.Part{{ID: part}, {ID: "own"}}}
		return instance, instance.Serve(ctx, proxy.Job[head]{Request: request}, new(responseWriter))
	}
	return nil, nil
}

// Guards against a sound part that stays in quarantine because the instance that grants probes was killed, and is still
// listed as a member.
func TestProbeIsGrantedAlsoIfItsKeeperIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.gone = query.ProbeKeepers(f.state("n0"))[0].Name
		f.quarantine("sound")
		time.Sleep(time.Second)
		_, err := f.serveAsProbe(t.Context(), "sound")
		assert.NilError(t, err)
	})
}

// Guards against a probe whose end its keeper never learns, as the instance that sent it knew of fewer probes: sound parts
// stayed rejected, since their probes waited for its outcome.
func TestKeeperLearnsTheOutcomeOfAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.backend.answers = []func(context.Context, attempt) (*answer, error){failsWith(proxy.ErrAnswerLost)}
		keeper := f.instances[query.ProbeKeepers(f.state("n0"))[0].Name]
		f.quarantine("suspect")
		time.Sleep(time.Second)
		assert.Equal(t, keeper.GrantProbe(query.Probe{Part: "suspect"}), 1)
		time.Sleep(time.Minute)
		sender, err := f.serveAsProbe(t.Context(), "suspect")
		assert.Assert(t, err != nil)
		assert.Equal(t, len(f.backend.attempts), 1)
		keeper.MergePartReports(sender.PartReports())
		assert.Equal(t, keeper.PartReports()[0].Probed, time.Duration(0), "the outcome is known")
	})
}
