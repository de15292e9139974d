package stage_test

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
	"endivehitch/io/stage"
)

const (
	rollOut = value.RollOutName("sprog-new")
	newKey  = value.VersionKey("sprog/new")
)

func document() value.Document {
	return value.Document{
		Models: []value.Model{{Name: "sprog", Versions: []value.Version{{Name: "old", Quality: 0.95}, {Name: "new", Quality: 0.95}}}},
		Kinds:  []value.Kind{{Name: "quote", Model: "sprog", QualityTarget: 0.9}},
		RollOuts: []value.RollOut{{
			Name: rollOut, Model: "sprog", From: "old", To: "new", MaxErrorRate: 0.02, MinQuality: 0.9,
			Stages: []value.Stage{{Percent: 10, MinRatings: 2}, {Percent: 50, MinTime: time.Hour}},
		}},
	}
}

// fixture holds the services that all instances of a test share.
type fixture struct {
	store   *fakes.Store
	ratings *fakes.Ratings
	mesh    *fakes.Mesh
}

// instance is a control state with a persister and a collector.
type instance struct {
	mu        sync.Mutex
	state     state.State
	persister *stage.Persister
	collector *stage.Collector
	counts    []value.AttemptCounts
}

func start(ctx context.Context, t *testing.T, f fixture, id value.InstanceID) *instance {
	t.Helper()
	self := value.Instance{ID: id, PeerAddress: string(id), State: value.InstanceLive}
	inst := &instance{state: state.New(self)}
	for _, member := range []value.InstanceID{"a", "b"} {
		inst.state = inst.state.WithInstance(value.Instance{ID: member, PeerAddress: string(member), State: value.InstanceLive})
	}
	port := f.mesh.Join(self)
	assert.NilError(t, inst.do(ctx, cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: document(), Revision: 1}}))
	var err error
	inst.persister, err = stage.NewPersister(stage.PersisterConfig{
		Store: f.store, Environment: "trial", Do: inst.do, ReportError: func(error) {},
		RetryDelay: func(int) time.Duration { return time.Second },
	})
	assert.NilError(t, err)
	inst.collector, err = stage.NewCollector(stage.CollectorConfig{
		DrainCounts: inst.drain, Ratings: f.ratings, Caller: port, Snapshot: inst.snapshot, Do: inst.do,
		ReportError: func(error) {}, Now: time.Now, Interval: time.Second,
	})
	assert.NilError(t, err)
	assert.NilError(t, inst.collector.Register(port))
	for _, run := range []func(context.Context) error{inst.persister.Run, inst.followStore(f.store), inst.collector.Run} {
		go func() { assert.Check(t, run(ctx)) }()
	}
	return inst
}

func (i *instance) do(_ context.Context, c stage.Command) error {
	i.mu.Lock()
	next, effects := c.Apply(i.state, time.Now())
	i.state = next
	i.mu.Unlock()
	for _, e := range effects {
		if i.persister != nil {
			i.persister.Enqueue(e)
		}
	}
	return nil
}

// followStore installs the roll-out records in the store, as the dissemination of the configuration
// does.
func (i *instance) followStore(store plat.Store) func(context.Context) error {
	install := func(ctx context.Context, entries ...plat.Entry) error {
		c, err := conf.Decode("trial", entries...)
		if err != nil {
			return err
		}
		last := entries[len(entries)-1].Revision
		return i.do(ctx, cmds.InstallRevision{Revision: last, RollOuts: c.RollOuts, Withdrawals: c.Withdrawals})
	}
	return func(ctx context.Context) error {
		for ctx.Err() == nil {
			listing, err := store.List(ctx, conf.Prefix("trial"))
			if err == nil && len(listing.Entries) > 0 {
				slices.SortFunc(listing.Entries, func(a, b plat.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
				err = install(ctx, listing.Entries...)
			}
			events, watchErr := store.Watch(ctx, conf.Prefix("trial"), listing.Revision+1)
			if errors.Join(err, watchErr) != nil {
				time.Sleep(time.Second)
				continue
			}
			for e := range events {
				if err := install(ctx, e.Entry); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

func (i *instance) snapshot() state.State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

func (i *instance) drain() []value.AttemptCounts {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := i.counts
	i.counts = nil
	return counts
}

// countAttempts adds attempts of the new version to the instance's counts.
func (i *instance) countAttempts(total, failed int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts = append(i.counts, value.AttemptCounts{Version: newKey, Total: total, Failed: failed})
}

func (i *instance) progress() value.Progress {
	p, _ := i.snapshot().Progress(rollOut)
	return p
}

// settle lets 5 s pass, long enough for a report, a write to the store and its propagation.
func settle() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

// runTest runs the test with a store that can inject faults and a fleet of two instances.
func runTest(t *testing.T, test func(ctx context.Context, f fixture, a, b *instance)) {
	synctest.Test(t, func(t *testing.T) {
		inner, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 64})
		assert.NilError(t, err)
		// Revision 1 belongs to the document, which each instance installs when it starts.
		_, err = inner.Swap(t.Context(), plat.Swap{Key: "document"})
		assert.NilError(t, err)
		fx := fixture{store: fakes.NewStore(inner), ratings: new(fakes.Ratings), mesh: new(fakes.Mesh)}
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, fx, start(ctx, t, fx, "a"), start(ctx, t, fx, "b"))
		cancel()
		synctest.Wait()
	})
}

func TestRollOutPositionReachesRunningAndLaterInstances(t *testing.T) {
	runTest(t, func(ctx context.Context, f fixture, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		assert.DeepEqual(t, b.progress(), a.progress())
		for range 2 {
			f.ratings.Add(plat.Rating{Kind: "quote", Version: newKey, Accepted: true, At: time.Now()})
		}
		settle()
		// Both instances take the step; the second one finds it taken.
		assert.NilError(t, a.collector.TakeDueSteps(ctx))
		settle()
		assert.NilError(t, b.collector.TakeDueSteps(ctx))
		settle()
		c := start(ctx, t, f, "c")
		settle()
		assert.Equal(t, c.progress().Stage, 1)
		assert.DeepEqual(t, c.progress(), b.progress())
	})
}

func TestWithdrawalReachesOtherInstanceWithinSeconds(t *testing.T) {
	runTest(t, func(ctx context.Context, _ fixture, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		a.countAttempts(40, 20)
		settle()
		assert.Assert(t, b.snapshot().IsWithdrawn(newKey))
		assert.Equal(t, b.progress().Phase, value.PhaseWithdrawn)
	})
}

func TestPositionIsStoredAfterOutageAndLostAnswer(t *testing.T) {
	runTest(t, func(ctx context.Context, f fixture, a, b *instance) {
		assert.NilError(t, f.store.SetFaults(fakes.StoreFaults{Down: true}))
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		assert.Equal(t, b.progress().Phase, value.Phase(""))
		assert.NilError(t, f.store.SetFaults(fakes.StoreFaults{}.WithLostAnswers(1)))
		settle()
		assert.DeepEqual(t, b.progress(), a.progress())
	})
}

func TestWithdrawalOverridesConcurrentAdvance(t *testing.T) {
	runTest(t, func(ctx context.Context, f fixture, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		assert.NilError(t, f.store.SetFaults(fakes.StoreFaults{Down: true}))
		assert.NilError(t, a.do(ctx, cmds.WithdrawVersion{Version: newKey, Reason: value.ReasonOperator}))
		assert.NilError(t, b.do(ctx, cmds.AdvanceRollOut{Name: rollOut, Forced: true}))
		assert.NilError(t, b.do(ctx, cmds.AdvanceRollOut{Name: rollOut, Stage: 1, Forced: true}))
		settle()
		assert.NilError(t, f.store.SetFaults(fakes.StoreFaults{}))
		settle()
		for _, i := range []*instance{a, b} {
			assert.Equal(t, i.progress().Phase, value.PhaseWithdrawn)
			assert.Assert(t, i.snapshot().IsWithdrawn(newKey))
		}
	})
}

func TestRollOutTestCountsAttemptsOfAllInstances(t *testing.T) {
	runTest(t, func(ctx context.Context, _ fixture, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		a.countAttempts(20, 4)
		settle()
		assert.Equal(t, a.progress().Phase, value.PhaseStaged, "too few attempts for a decision")
		b.countAttempts(20, 4)
		settle()
		assert.Equal(t, a.progress().Phase, value.PhaseWithdrawn)
		assert.Equal(t, b.progress().Phase, value.PhaseWithdrawn)
	})
}

func TestAttemptsAreResentWhileEvaluatorIsUnreachableAndNeverCountedTwice(t *testing.T) {
	runTest(t, func(ctx context.Context, f fixture, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		evaluator, other := a, b
		if owner, _ := query.Owner(a.snapshot(), query.Slot(string(newKey))); owner.ID == "b" {
			evaluator, other = b, a
		}
		f.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{Unsent: true} })
		other.countAttempts(10, 0)
		settle()
		assert.Equal(t, observedAttempts(evaluator), 0)
		f.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{} })
		settle()
		assert.Equal(t, observedAttempts(evaluator), 10)
		f.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{LoseReply: true} })
		other.countAttempts(10, 0)
		settle()
		f.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{} })
		settle()
		assert.Equal(t, observedAttempts(evaluator), 20)
	})
}

func observedAttempts(i *instance) int {
	s := i.snapshot()
	r, _ := s.RollOut(rollOut)
	return s.RollOutTests(r).Sequential.Trials(value.ReasonErrorRate)
}
