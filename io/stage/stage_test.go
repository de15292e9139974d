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

// fleet is what the instances share.
type fleet struct {
	store   *fakes.Store
	ratings *fakes.Ratings
	mesh    *fakes.Mesh
}

// instance is a control state with its keeper and feeder.
type instance struct {
	mu     sync.Mutex
	state  state.State
	keeper *stage.Keeper
	feeder *stage.Feeder
	runs   []value.AttemptCounts
}

func start(ctx context.Context, t *testing.T, f fleet, id value.InstanceID) *instance {
	t.Helper()
	self := value.Instance{ID: id, PeerAddress: string(id), State: value.InstanceLive}
	i := &instance{state: state.New(self)}
	for _, member := range []value.InstanceID{"a", "b"} {
		i.state = i.state.WithInstance(value.Instance{ID: member, PeerAddress: string(member), State: value.InstanceLive})
	}
	port := f.mesh.Join(self)
	assert.NilError(t, i.do(ctx, cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: document(), Revision: 1}}))
	var err error
	i.keeper, err = stage.NewKeeper(stage.KeeperConfig{
		Store: f.store, Environment: "trial", Do: i.do, Failed: func(error) {},
		Delay: func(int) time.Duration { return time.Second },
	})
	assert.NilError(t, err)
	i.feeder, err = stage.NewFeeder(stage.FeederConfig{
		Drain: i.drain, Ratings: f.ratings, Caller: port, Snapshot: i.snapshot, Do: i.do,
		Failed: func(error) {}, Now: time.Now, Every: time.Second,
	})
	assert.NilError(t, err)
	assert.NilError(t, i.feeder.Register(port))
	for _, run := range []func(context.Context) error{i.keeper.Run, i.follow(f.store), i.feeder.Run} {
		go func() { assert.Check(t, run(ctx)) }()
	}
	return i
}

func (i *instance) do(_ context.Context, c stage.Command) error {
	i.mu.Lock()
	next, effects := c.Apply(i.state, time.Now())
	i.state = next
	i.mu.Unlock()
	for _, e := range effects {
		if i.keeper != nil {
			i.keeper.Take(e)
		}
	}
	return nil
}

// follow puts in force what the store keeps, as the spread of the configuration does.
func (i *instance) follow(store plat.Store) func(context.Context) error {
	spread := func(ctx context.Context, entries ...plat.Entry) error {
		c, err := conf.Decode("trial", entries...)
		if err != nil {
			return err
		}
		last := entries[len(entries)-1].Revision
		return i.do(ctx, cmds.InstallRevision{Revision: last, RollOuts: c.RollOuts, Withdrawals: c.Withdrawals})
	}
	return func(ctx context.Context) error {
		for ctx.Err() == nil {
			now, err := store.List(ctx, conf.Prefix("trial"))
			if err == nil && len(now.Entries) > 0 {
				slices.SortFunc(now.Entries, func(a, b plat.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
				err = spread(ctx, now.Entries...)
			}
			events, watchErr := store.Watch(ctx, conf.Prefix("trial"), now.Revision+1)
			if errors.Join(err, watchErr) != nil {
				time.Sleep(time.Second)
				continue
			}
			for e := range events {
				if err := spread(ctx, e.Entry); err != nil {
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
	runs := i.runs
	i.runs = nil
	return runs
}

// served counts runs of the new version at the instance.
func (i *instance) served(total, failed int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.runs = append(i.runs, value.AttemptCounts{Version: newKey, Total: total, Failed: failed})
}

func (i *instance) progress() value.Progress {
	p, _ := i.snapshot().Progress(rollOut)
	return p
}

// settle lets a few seconds pass, in which everything that can happen does.
func settle() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

// run gives the test a store with faults and the two instances of a fleet.
func run(t *testing.T, test func(ctx context.Context, f fleet, a, b *instance)) {
	synctest.Test(t, func(t *testing.T) {
		inner, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 64})
		assert.NilError(t, err)
		// The document of revision 1 is in force already.
		_, err = inner.Swap(t.Context(), plat.Swap{Key: "document"})
		assert.NilError(t, err)
		f := fleet{store: fakes.NewStore(inner), ratings: new(fakes.Ratings), mesh: new(fakes.Mesh)}
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, f, start(ctx, t, f, "a"), start(ctx, t, f, "b"))
		cancel()
		synctest.Wait()
	})
}

func TestPositionReachesTheOtherInstanceAndOneThatStartsLater(t *testing.T) {
	run(t, func(ctx context.Context, f fleet, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		assert.DeepEqual(t, b.progress(), a.progress())
		for range 2 {
			f.ratings.Add(plat.Rating{Kind: "quote", Version: newKey, Accepted: true, At: time.Now()})
		}
		settle()
		// Both take the step; the second one finds it taken.
		assert.NilError(t, a.feeder.Step(ctx))
		settle()
		assert.NilError(t, b.feeder.Step(ctx))
		settle()
		c := start(ctx, t, f, "c")
		settle()
		assert.Equal(t, c.progress().Stage, 1)
		assert.DeepEqual(t, c.progress(), b.progress())
	})
}

func TestWithdrawalReachesTheOtherInstanceInSeconds(t *testing.T) {
	run(t, func(ctx context.Context, _ fleet, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		a.served(40, 20)
		settle()
		assert.Assert(t, b.snapshot().Withdrawn(newKey))
		assert.Equal(t, b.progress().Phase, value.PhaseWithdrawn)
	})
}

func TestKeepingOutlastsAnOutageAndALostAnswer(t *testing.T) {
	run(t, func(ctx context.Context, f fleet, a, b *instance) {
		assert.NilError(t, f.store.Set(fakes.Faults{Down: true}))
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		assert.Equal(t, b.progress().Phase, value.Phase(""))
		assert.NilError(t, f.store.Set(fakes.Faults{}.WithLostAnswers(1)))
		settle()
		assert.DeepEqual(t, b.progress(), a.progress())
	})
}

func TestWithdrawalWinsOverAStepTakenElsewhere(t *testing.T) {
	run(t, func(ctx context.Context, f fleet, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		assert.NilError(t, f.store.Set(fakes.Faults{Down: true}))
		assert.NilError(t, a.do(ctx, cmds.WithdrawVersion{Version: newKey, Reason: value.ReasonOperator}))
		assert.NilError(t, b.do(ctx, cmds.AdvanceRollOut{Name: rollOut, Forced: true}))
		assert.NilError(t, b.do(ctx, cmds.AdvanceRollOut{Name: rollOut, Stage: 1, Forced: true}))
		settle()
		assert.NilError(t, f.store.Set(fakes.Faults{}))
		settle()
		for _, i := range []*instance{a, b} {
			assert.Equal(t, i.progress().Phase, value.PhaseWithdrawn)
			assert.Assert(t, i.snapshot().Withdrawn(newKey))
		}
	})
}

func TestOneTestSeesTheRunsOfAllInstances(t *testing.T) {
	run(t, func(ctx context.Context, _ fleet, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		a.served(20, 4)
		settle()
		assert.Equal(t, a.progress().Phase, value.PhaseStaged, "too few runs to tell")
		b.served(20, 4)
		settle()
		assert.Equal(t, a.progress().Phase, value.PhaseWithdrawn)
		assert.Equal(t, b.progress().Phase, value.PhaseWithdrawn)
	})
}

func TestRunsWaitForAWatcherThatIsNotReachedAndAreNeverCountedTwice(t *testing.T) {
	run(t, func(ctx context.Context, f fleet, a, b *instance) {
		assert.NilError(t, a.do(ctx, cmds.StartRollOut{Name: rollOut}))
		settle()
		watcher, other := a, b
		if owner, _ := query.Owner(a.snapshot(), query.Slot(string(newKey))); owner.ID == "b" {
			watcher, other = b, a
		}
		f.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{Unsent: true} })
		other.served(10, 0)
		settle()
		assert.Equal(t, seen(watcher), 0)
		f.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{} })
		settle()
		assert.Equal(t, seen(watcher), 10)
		f.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{LoseReply: true} })
		other.served(10, 0)
		settle()
		f.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{} })
		settle()
		assert.Equal(t, seen(watcher), 20)
	})
}

func seen(i *instance) int {
	s := i.snapshot()
	r, _ := s.RollOut(rollOut)
	return s.RollOutTests(r).Tests.Trials(value.ReasonErrorRate)
}
