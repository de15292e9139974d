package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/fleet"
	"endivehitch/core/ledger"
	"endivehitch/core/loop"
	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/clock"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
	"endivehitch/io/flow"
	"endivehitch/io/gossip"
	"endivehitch/io/once"
	"endivehitch/io/plat"
	"endivehitch/io/stage"
)

type command = loop.Command[state.State, state.Effect]

// instance is one instance of the fleet: the real control loop, gossip, idempotency guard, biller
// and request flow, connected as in a process of its own.
type instance struct {
	self      value.Instance
	fleet     *Fleet
	loop      *loop.Loop[state.State, state.Effect]
	port      *fakes.Port
	store     plat.Store
	flow      *flow.Flow
	guard     *once.Guard
	biller    *bills.Biller
	gossip    *gossip.Gossip
	persister *stage.Persister

	ctx    context.Context
	cancel context.CancelFunc
	// processCtx ends when the instance is killed or has left; ctx, its parent, ends only when the
	// instance has left or the run of the cell has ended.
	processCtx context.Context
	endProcess context.CancelFunc
	paused     policy.Cell[chan struct{}]
	// serving counts the callers being served, background the instance's own goroutines.
	serving sync.WaitGroup
	// listenerMu guards listenerClosed, and keeps serving from growing once the listener is closed.
	listenerMu     sync.Mutex
	listenerClosed bool
	background     sync.WaitGroup
}

func (f *Fleet) startInstance(id value.InstanceID) (*instance, error) {
	n := &instance{fleet: f, self: value.Instance{
		ID: id, PeerAddress: string(id), FailureDomain: value.FailureDomain("domain-" + id), State: value.InstanceLive,
	}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.processCtx, n.endProcess = context.WithCancel(n.ctx)
	n.port = f.mesh.Join(n.self)
	n.store = pausableStore{Store: f.store, instance: n}
	var err error
	n.loop, err = loop.New(loop.Config[state.State, state.Effect]{Initial: state.New(n.self), Now: time.Now, Mailbox: 64})
	if err != nil {
		return nil, fmt.Errorf("create control loop: %w", err)
	}
	for _, build := range []func() error{n.newGossip, n.newGuard, n.newBiller, n.newPersister, n.newFlow} {
		if err := build(); err != nil {
			return nil, fmt.Errorf("create instance %s: %w", id, err)
		}
	}
	f.addInstance(n)
	n.startBackground()
	return n, nil
}

func (n *instance) hasDeparted(id value.InstanceID) bool {
	return query.HasDeparted(n.loop.Snapshot(), id)
}

func (n *instance) needsBillTakeover(id value.InstanceID) bool {
	return query.NeedsBillTakeover(n.loop.Snapshot(), id, time.Now())
}

func backoff() policy.Backoff {
	return policy.Backoff{InitialDelay: 50 * time.Millisecond, MaxDelay: 5 * time.Second}
}

// listInterval is the time between two reads of the instance list.
const listInterval = 5 * time.Second

func (n *instance) newGossip() (err error) {
	n.gossip, err = gossip.New(gossip.Config{
		Control: n.loop, Caller: n.port, Registrar: n.port, List: n.fleet.instanceList, Store: n.store,
		Prefix: conf.Prefix(environment), Decode: n.decodeConfig, Timing: fleet.DefaultTiming(), ListInterval: listInterval, Seed: n.fleet.seed,
	})
	return err
}

func (n *instance) newGuard() (err error) {
	n.guard, err = once.New(once.Config{
		Self: n.self.ID, Store: n.store, Caller: n.port, HasDeparted: n.hasDeparted, Now: time.Now,
		Owner: func(slot int) (value.Instance, bool) { return query.Owner(n.loop.Snapshot(), slot) },
		Rule:  ledger.JournalRule{Retention: time.Hour, AbandonAfter: 30 * time.Second, MaxBytes: 64 << 10, MaxAnswerBytes: 1 << 10},
		Slots: state.Slots, WriteRate: 100, MaxGroup: 256, MaxQueue: 1024, MaxBacklog: 1024,
		OwnerTimeout: time.Second, StoreTimeout: 2 * time.Second, RecordWait: 2 * time.Second,
		Backoff: backoff(), NewToken: n.fleet.newToken, Seed: n.fleet.seed,
	})
	if err != nil {
		return err
	}
	return n.guard.Register(n.port)
}

func (n *instance) newBiller() (err error) {
	n.biller, err = bills.New(bills.Config{
		Self: n.self, Started: time.Now(), Store: n.store, Caller: n.port, NeedsTakeover: n.needsBillTakeover,
		Holders:   func() []value.Instance { return query.BillReplicas(n.loop.Snapshot()) },
		MinCopies: 1, FlushInterval: func() time.Duration { return 5 * time.Second }, ReplicationTimeout: 5 * time.Second, CallTimeout: 2 * time.Second,
		MaxBacklog: 1024, MaxSegmentBytes: 64 << 10, MaxHeldEntries: 1024, Backoff: backoff(), Seed: n.fleet.seed,
	})
	if err != nil {
		return err
	}
	return n.biller.Register(n.port)
}

func (n *instance) newPersister() (err error) {
	n.persister, err = stage.NewPersister(stage.PersisterConfig{
		Store: n.store, Environment: environment,
		Do:          func(ctx context.Context, c stage.Command) error { return n.loop.Do(ctx, c) },
		ReportError: func(error) {},
		RetryDelay: func(failures int) time.Duration {
			return min(time.Duration(failures)*100*time.Millisecond, time.Second)
		},
	})
	return err
}

func (n *instance) newFlow() (err error) {
	n.flow, err = flow.New(flow.Config{
		Snapshot: n.loop.Snapshot, Runner: runner{fleet: n.fleet, instance: n}, Now: time.Now, Seed: n.fleet.seed,
		Biller: stepBiller{Biller: n.biller, instance: n}, Guard: stepGuard{Guard: n.guard, instance: n}, Record: n.recordDecisionStep,
	})
	return err
}

// recordDecisionStep reports the step that a decision about a request reaches.
func (n *instance) recordDecisionStep(d value.Decision) {
	switch {
	case d.Step == value.StepAdmit:
		n.fleet.reachStep(StepAdmit, n)
	case d.Step == value.StepQueue:
		n.fleet.reachStep(StepQueue, n)
	case d.Step == value.StepPlan && d.Reason == value.ReasonPinned:
		n.fleet.reachStep(StepPin, n)
	case d.Step == value.StepRoute:
		n.fleet.reachStep(StepRoute, n)
	}
}

func (n *instance) startBackground() {
	n.background.Go(func() { n.loop.Run(n.ctx) })
	n.background.Go(n.handleEffects)
	n.background.Go(func() { _ = n.gossip.Run(n.ctx) })
	n.background.Go(func() { n.biller.Run(n.ctx) })
	n.background.Go(func() { _ = n.persister.Run(n.ctx) })
	n.background.Go(func() { n.flow.Follow(n.ctx, n.loop.Watch) })
	n.background.Go(n.readServers)
	n.background.Go(n.recordConfigInForce)
}

func (n *instance) handleEffects() {
	for e := range n.loop.Effects() {
		n.gossip.Handle(e)
		n.persister.Enqueue(e)
	}
}

// readServers reads the platform's list of backend servers each second.
func (n *instance) readServers() {
	for {
		if servers, err := n.fleet.instanceList.Servers(n.ctx); err == nil {
			_ = n.loop.Do(n.ctx, cmds.SyncServers{Servers: servers})
		}
		if clock.Wait(n.ctx, time.Second) != nil {
			return
		}
	}
}

// recordConfigInForce records each revision of the configuration that comes into force.
func (n *instance) recordConfigInForce() {
	lastRevision := int64(-1)
	for {
		snapshot, changed := n.loop.Watch()
		if r := snapshot.Config.Revision; r != lastRevision {
			lastRevision = r
			n.fleet.record(func(o Observations) Observations {
				return o.WithInForce(Event[value.InstanceID]{Subject: n.self.ID, Revision: r, At: time.Now()})
			})
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *instance) hasEnded() bool { return n.processCtx.Err() != nil }

// waitWhilePaused returns once the instance is not paused; it fails if the instance or the context
// has ended.
func (n *instance) waitWhilePaused(ctx context.Context) error {
	if paused := n.paused.Get(); paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
	if n.hasEnded() {
		return fmt.Errorf("instance has ended: %w", plat.ErrUnavailable)
	}
	return ctx.Err()
}

func (n *instance) pause() {
	n.port.Pause()
	n.paused.Update(func(previous chan struct{}) chan struct{} {
		if previous != nil {
			// Already paused; calls may be waiting on this channel.
			return previous
		}
		return make(chan struct{})
	})
}

func (n *instance) resume() {
	var resumed chan struct{}
	n.paused.Update(func(current chan struct{}) chan struct{} {
		// Of two concurrent calls only one gets the channel, so that it is closed once.
		resumed = current
		return nil
	})
	if resumed != nil {
		close(resumed)
	}
	if !n.hasEnded() {
		n.port.Resume()
	}
}

// kill ends the instance at once: it can neither send nor receive any more.
func (n *instance) kill() {
	if n.hasEnded() {
		return
	}
	n.fleet.mesh.Remove(n.self.PeerAddress)
	n.fleet.record(func(o Observations) Observations { return o.WithEndedInstance(n.self.ID) })
	n.fleet.instanceList.removeInstance(n.self.ID)
	n.port.Pause()
	n.endProcess()
}

// acceptCaller adds a caller to serving; it reports false if the listener is closed.
func (n *instance) acceptCaller() bool {
	n.listenerMu.Lock()
	defer n.listenerMu.Unlock()
	if n.listenerClosed || n.hasEnded() {
		return false
	}
	n.serving.Add(1)
	return true
}

func (n *instance) closeListener() {
	n.listenerMu.Lock()
	defer n.listenerMu.Unlock()
	n.listenerClosed = true
}

// leave shuts the instance down gracefully: it closes the listener, serves its callers to the end,
// hands over its work and departs.
func (n *instance) leave() {
	if n.hasEnded() || n.loop.Do(n.ctx, cmds.Leave{}) != nil {
		return
	}
	n.closeListener()
	n.fleet.reachStep(StepLeave, n)
	if n.fleet.brokenInvariant != InvariantShutdownCutsNothing {
		n.serving.Wait()
	}
	ctx, cancel := context.WithTimeout(n.ctx, 30*time.Second)
	defer cancel()
	n.fleet.reachStep(StepHandOver, n)
	_ = n.guard.Drain(ctx)
	_ = n.biller.Flush(ctx)
	if !n.hasEnded() {
		n.fleet.mesh.Remove(n.self.PeerAddress)
		n.fleet.record(func(o Observations) Observations { return o.WithEndedInstance(n.self.ID) })
		n.fleet.instanceList.removeInstance(n.self.ID)
		// ctx must end before processCtx: afterProcessEnd takes the end of processCtx alone for a kill.
		n.cancel()
		n.endProcess()
	}
}

// stop ends all goroutines of the instance, after the observations have been read.
func (n *instance) stop() {
	n.endProcess()
	n.cancel()
	n.resume()
	n.port.Resume()
	n.closeListener()
	n.serving.Wait()
	n.guard.Close()
	n.biller.Close()
	n.background.Wait()
}
