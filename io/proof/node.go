package proof

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

// node is one instance of the fleet.
type node struct {
	self   value.Instance
	fleet  *Fleet
	loop   *loop.Loop[state.State, state.Effect]
	port   *fakes.Port
	store  plat.Store
	flow   *flow.Flow
	guard  *once.Guard
	biller *bills.Biller
	gossip *gossip.Gossip
	keeper *stage.Keeper

	ctx    context.Context
	cancel context.CancelFunc
	// life ends when the process is killed or has left.
	life   context.Context
	end    context.CancelFunc
	paused policy.Cell[chan struct{}]
	// serving counts callers; working counts the instance's own goroutines.
	serving sync.WaitGroup
	// door is held while callers are let in or the listener closes.
	door    sync.Mutex
	closed  bool
	working sync.WaitGroup
}

func (f *Fleet) start(id value.InstanceID) (*node, error) {
	n := &node{fleet: f, self: value.Instance{
		ID: id, PeerAddress: string(id), FailureDomain: value.FailureDomain("domain-" + id), State: value.InstanceLive,
	}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.life, n.end = context.WithCancel(n.ctx)
	n.port = f.mesh.Join(n.self)
	n.store = gate{Store: f.store, node: n}
	var err error
	n.loop, err = loop.New(loop.Config[state.State, state.Effect]{Initial: state.New(n.self), Now: time.Now, Mailbox: 64})
	if err != nil {
		return nil, fmt.Errorf("make control loop: %w", err)
	}
	for _, make := range []func() error{n.makeGossip, n.makeGuard, n.makeBiller, n.makeKeeper, n.makeFlow} {
		if err := make(); err != nil {
			return nil, fmt.Errorf("make instance %s: %w", id, err)
		}
	}
	f.join(n)
	n.run()
	return n, nil
}

func (n *node) gone(id value.InstanceID) bool { return query.HasDeparted(n.loop.Snapshot(), id) }

func (n *node) departed(id value.InstanceID) bool {
	return query.NeedsBillTakeover(n.loop.Snapshot(), id, time.Now())
}

func backoff() policy.Backoff {
	return policy.Backoff{First: 50 * time.Millisecond, Limit: 5 * time.Second}
}

// listEvery is the time between two readings of the instance list.
const listEvery = 5 * time.Second

func (n *node) makeGossip() (err error) {
	n.gossip, err = gossip.New(gossip.Config{
		Control: n.loop, Caller: n.port, Registrar: n.port, List: n.fleet.list, Store: n.store,
		Prefix: conf.Prefix(environment), Decode: n.decode, Timing: fleet.DefaultTiming(), ListEvery: listEvery, Seed: n.fleet.seed,
	})
	return err
}

func (n *node) makeGuard() (err error) {
	n.guard, err = once.New(once.Config{
		Self: n.self.ID, Store: n.store, Caller: n.port, Gone: n.gone, Now: time.Now,
		Owner: func(slot int) (value.Instance, bool) { return query.Owner(n.loop.Snapshot(), slot) },
		Rule:  ledger.JournalRule{Retention: time.Hour, AbandonAfter: 30 * time.Second, MaxBytes: 64 << 10, MaxAnswerBytes: 1 << 10},
		Slots: state.Slots, Writes: 100, Group: 256, Queue: 1024, Backlog: 1024,
		OwnerTimeout: time.Second, StoreTimeout: 2 * time.Second, SettleWait: 2 * time.Second,
		Backoff: backoff(), NewToken: n.fleet.token, Seed: n.fleet.seed,
	})
	if err != nil {
		return err
	}
	return n.guard.Register(n.port)
}

func (n *node) makeBiller() (err error) {
	n.biller, err = bills.New(bills.Config{
		Self: n.self, Store: n.store, Caller: n.port, Gone: n.departed,
		Holders: func() []value.Instance { return query.BillReplicas(n.loop.Snapshot()) },
		Copies:  1, Flush: func() time.Duration { return 5 * time.Second }, Patience: 5 * time.Second, Timeout: 2 * time.Second,
		Backlog: 1024, SegmentBytes: 64 << 10, HeldEntries: 1024, Backoff: backoff(), Seed: n.fleet.seed,
	})
	if err != nil {
		return err
	}
	return n.biller.Register(n.port)
}

func (n *node) makeKeeper() (err error) {
	n.keeper, err = stage.NewKeeper(stage.KeeperConfig{
		Store: n.store, Environment: environment,
		Do:     func(ctx context.Context, c stage.Command) error { return n.loop.Do(ctx, c) },
		Failed: func(error) {},
		Delay: func(failures int) time.Duration {
			return min(time.Duration(failures)*100*time.Millisecond, time.Second)
		},
	})
	return err
}

func (n *node) makeFlow() (err error) {
	n.flow, err = flow.New(flow.Config{
		Snapshot: n.loop.Snapshot, Runner: runner{fleet: n.fleet, node: n}, Now: time.Now, Seed: n.fleet.seed,
		Biller: biller{Biller: n.biller, node: n}, Guard: guard{Guard: n.guard, node: n}, Record: n.record,
	})
	return err
}

// record turns the decisions about requests into steps.
func (n *node) record(d value.Decision) {
	switch {
	case d.Step == value.StepAdmit:
		n.fleet.reach(StepAdmit, n)
	case d.Step == value.StepQueue:
		n.fleet.reach(StepQueue, n)
	case d.Step == value.StepPlan && d.Reason == value.ReasonPinned:
		n.fleet.reach(StepPin, n)
	case d.Step == value.StepRoute:
		n.fleet.reach(StepRoute, n)
	}
}

func (n *node) run() {
	n.working.Go(func() { n.loop.Run(n.ctx) })
	n.working.Go(n.work)
	n.working.Go(func() { _ = n.gossip.Run(n.ctx) })
	n.working.Go(func() { n.biller.Run(n.ctx) })
	n.working.Go(func() { _ = n.keeper.Run(n.ctx) })
	n.working.Go(func() { n.flow.Follow(n.ctx, n.loop.Watch) })
	n.working.Go(n.readServers)
	n.working.Go(n.observe)
}

func (n *node) work() {
	for e := range n.loop.Effects() {
		n.gossip.Handle(e)
		n.keeper.Take(e)
	}
}

// readServers reads the platform's list of backend servers each second.
func (n *node) readServers() {
	for {
		if servers, err := n.fleet.list.Servers(n.ctx); err == nil {
			_ = n.loop.Do(n.ctx, cmds.SyncServers{Servers: servers})
		}
		if clock.Wait(n.ctx, time.Second) != nil {
			return
		}
	}
}

// observe notes which configuration is in force.
func (n *node) observe() {
	last := int64(-1)
	for {
		s, changed := n.loop.Watch()
		if r := s.Config.Revision; r != last {
			last = r
			n.fleet.note(func(f Facts) Facts {
				return f.WithInForce(Event[value.InstanceID]{Subject: n.self.ID, Revision: r, At: time.Now()})
			})
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *node) ended() bool { return n.life.Err() != nil }

// standStill returns once the instance is not paused; it fails where the instance was killed.
func (n *node) standStill(ctx context.Context) error {
	if paused := n.paused.Get(); paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
	if n.ended() {
		return fmt.Errorf("instance has ended: %w", plat.ErrUnavailable)
	}
	return ctx.Err()
}

func (n *node) pause() {
	n.port.Pause()
	n.paused.Update(func(was chan struct{}) chan struct{} {
		if was != nil {
			// What stands still already waits on this channel.
			return was
		}
		return make(chan struct{})
	})
}

func (n *node) resume() {
	var was chan struct{}
	n.paused.Update(func(now chan struct{}) chan struct{} {
		// Of two that resume at once only one finds the channel.
		was = now
		return nil
	})
	if was != nil {
		close(was)
	}
	if !n.ended() {
		n.port.Resume()
	}
}

// kill ends the instance at once: nothing goes in or out any more.
func (n *node) kill() {
	if n.ended() {
		return
	}
	n.fleet.mesh.Remove(n.self.PeerAddress)
	n.fleet.note(func(f Facts) Facts { return f.WithEnded(n.self.ID) })
	n.fleet.list.drop(n.self.ID)
	n.port.Pause()
	n.end()
}

// enter counts a caller in, unless the listener is closed.
func (n *node) enter() bool {
	n.door.Lock()
	defer n.door.Unlock()
	if n.closed || n.ended() {
		return false
	}
	n.serving.Add(1)
	return true
}

func (n *node) close() {
	n.door.Lock()
	defer n.door.Unlock()
	n.closed = true
}

// leave ends the instance gracefully, as a node does when it is asked to.
func (n *node) leave() {
	if n.ended() || n.loop.Do(n.ctx, cmds.Leave{}) != nil {
		return
	}
	n.close()
	n.fleet.reach(StepLeave, n)
	if n.fleet.broken != LineShutdown {
		n.serving.Wait()
	}
	ctx, cancel := context.WithTimeout(n.ctx, 30*time.Second)
	defer cancel()
	n.fleet.reach(StepHandOver, n)
	_ = n.guard.Drain(ctx)
	_ = n.biller.Flush(ctx)
	if !n.ended() {
		n.fleet.mesh.Remove(n.self.PeerAddress)
		n.fleet.note(func(f Facts) Facts { return f.WithEnded(n.self.ID) })
		n.fleet.list.drop(n.self.ID)
		// The end of the context first: by it a caller tells a shutdown from a kill.
		n.cancel()
		n.end()
	}
}

// stop frees what the instance holds, once the facts have been gathered.
func (n *node) stop() {
	n.end()
	n.cancel()
	n.resume()
	n.port.Resume()
	n.close()
	n.serving.Wait()
	n.guard.Close()
	n.biller.Close()
	n.working.Wait()
}
