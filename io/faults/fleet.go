package faults

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/clock"
	"endivehitch/io/conf"
	"endivehitch/io/engine"
	"endivehitch/io/fakes"
	"endivehitch/io/flow"
	"endivehitch/io/plat"
)

// watchHistory is how many past changes the store retains for watches that start at an old
// revision.
const watchHistory = 10000

// Fleet is the test environment of one cell: three instances, and the store, network, instance list
// and backend servers that they use.
type Fleet struct {
	cell            Cell
	brokenInvariant Invariant
	seed            uint64

	// faultFreeStore is the store beneath store, without its faults.
	faultFreeStore *plat.Embedded
	store          *fakes.Store
	mesh           fakes.Mesh
	instanceList   *instanceList
	lastToken      atomic.Int64
	// triggered is set once the cell's faults have begun, and earlier while they must not begin.
	triggered    atomic.Bool
	observations policy.Cell[Observations]
	behaviours   policy.Cell[policy.Table[string, Behaviour]]
	storeFaults  policy.Cell[fakes.StoreFaults]
	requests     policy.Cell[policy.Table[value.RequestID, value.Request]]
	background   sync.WaitGroup

	mu        sync.Mutex
	instances []*instance
}

func newFleet(cell Cell, brokenInvariant Invariant) (*Fleet, error) {
	store, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: watchHistory})
	if err != nil {
		return nil, fmt.Errorf("create store: %w", err)
	}
	f := &Fleet{cell: cell, brokenInvariant: brokenInvariant, seed: 1, faultFreeStore: store, store: fakes.NewStore(store), instanceList: &instanceList{servers: backendServers()}}
	f.setPeersCut(false)
	for _, id := range []value.InstanceID{"a", "b", "c"} {
		if _, err := f.startInstance(id); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) newToken() string { return fmt.Sprint("token-", f.lastToken.Add(1)) }

func (f *Fleet) record(change func(Observations) Observations) { f.observations.Update(change) }

func (f *Fleet) runInBackground(do func()) { f.background.Go(do) }

func (f *Fleet) addInstance(n *instance) {
	f.instanceList.update(func(l *instanceList) { l.instances = append(l.instances, n.self) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, n)
}

func (f *Fleet) allInstances() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*instance(nil), f.instances...)
}

// liveInstance returns the first instance that has neither been killed nor left, or nil if there is
// none. The search starts at the given index and wraps around.
func (f *Fleet) liveInstance(first int) *instance {
	all := f.allInstances()
	for i := range all {
		if n := all[(first+i)%len(all)]; !n.hasEnded() && n.ctx.Err() == nil {
			return n
		}
	}
	return nil
}

func (f *Fleet) startReplacement() {
	// The platform takes a while to start a replacement for an instance that has ended.
	if clock.Wait(context.Background(), time.Second) == nil {
		_, _ = f.startInstance("d")
	}
}

// reachStep begins the cell's faults the first time that its step is reached, and ends each after
// its duration.
func (f *Fleet) reachStep(s Step, at *instance) {
	if s != f.cell.Step || at.hasEnded() || f.triggered.Swap(true) {
		return
	}
	for _, fault := range f.cell.Faults {
		fault.Begin(f, at)
		f.runInBackground(func() {
			_ = clock.Wait(context.Background(), fault.Duration)
			fault.End(f, at)
			f.record(func(o Observations) Observations { return o.WithFaultsEndedAt(time.Now()) })
		})
	}
}

func (f *Fleet) setBehaviour(name string, b Behaviour) {
	f.behaviours.Update(func(t policy.Table[string, Behaviour]) policy.Table[string, Behaviour] {
		if b == (Behaviour{}) {
			return t.Without(name)
		}
		return t.With(name, b)
	})
}

// behaviourOf returns the combination of all behaviours in force for the version at the server.
func (f *Fleet) behaviourOf(server value.ServerID, version value.VersionKey) Behaviour {
	var combined Behaviour
	for _, b := range f.behaviours.Get().All() {
		if !b.appliesTo(server, version) {
			continue
		}
		combined.Reset = combined.Reset || b.Reset
		combined.Stall = combined.Stall || b.Stall
		combined.WrongRequest = combined.WrongRequest || b.WrongRequest
		combined.RefuseConnection = combined.RefuseConnection || b.RefuseConnection
		combined.ExtraDelay = max(combined.ExtraDelay, b.ExtraDelay)
		combined.Status = max(combined.Status, b.Status)
	}
	return combined
}

func (f *Fleet) updateStoreFaults(change func(fakes.StoreFaults) fakes.StoreFaults) {
	_ = f.store.SetFaults(f.storeFaults.Update(change))
}

func (f *Fleet) setPeersCut(cut bool) {
	f.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery {
		return fakes.Delivery{Delay: time.Millisecond, Unsent: cut}
	})
}

func (f *Fleet) recordAttempt(server value.BackendServer, call engine.Call) {
	f.record(func(o Observations) Observations {
		return o.WithAttempt(Attempt{Request: call.Request, Key: call.Key, Server: server.ID, Version: call.Version, StartedAt: time.Now()})
	})
}

func (f *Fleet) requestByID(id value.RequestID) value.Request {
	r, _ := f.requests.Get().Get(id)
	return r
}

// sendRequest sends the request to the instance and records the reply that its caller receives.
func (f *Fleet) sendRequest(n *instance, r value.Request) Reply {
	reply := Reply{Request: r, SentAt: time.Now()}
	f.requests.Update(func(t policy.Table[value.RequestID, value.Request]) policy.Table[value.RequestID, value.Request] {
		return t.With(r.ID, r)
	})
	if !n.acceptCaller() {
		// The connection is refused: the caller received no reply, so there is none to check.
		return reply
	}
	f.reachStep(StepAccept, n)
	writer := &responseWriter{instance: n}
	served := make(chan Reply, 1)
	go func(reply Reply) {
		defer n.serving.Done()
		ctx, cancel := context.WithCancel(n.processCtx)
		defer cancel()
		_, err := n.flow.Serve(ctx, flow.Job{Request: r, Call: engine.Call{Stream: r.Key == "", Key: r.Key}}, writer)
		served <- reply.withResult(n, writer, err)
	}(reply)
	select {
	case reply = <-served:
	case <-n.processCtx.Done():
		reply = reply.afterProcessEnd(n, served)
	}
	f.record(func(o Observations) Observations { return o.WithReply(reply) })
	return reply
}

// afterProcessEnd returns the reply of a caller whose instance has ended: the served reply if there
// is one, else an empty reply, which is cut off if the instance left gracefully.
func (r Reply) afterProcessEnd(n *instance, served <-chan Reply) Reply {
	select {
	case complete := <-served:
		return complete
	default:
		r.CutOff = n.ctx.Err() != nil
		return r
	}
}

// withResult returns the reply as the caller received it.
func (r Reply) withResult(n *instance, writer *responseWriter, err error) Reply {
	r.Text = writer.text
	r.Complete = writer.ended
	var refusal value.Refusal
	if errors.As(err, &refusal) && !n.hasEnded() {
		r.NotRun = refusal.NotRun
	}
	// A graceful shutdown ends ctx; a kill ends only processCtx.
	r.CutOff = !writer.ended && n.hasEnded() && n.ctx.Err() != nil
	return r
}

// applyDocument writes the document to the store. Like an operator, it reads the document back where
// the answer was lost, and gives up on a conflict.
func (f *Fleet) applyDocument(text string) {
	key := conf.DocumentKey(environment)
	for range 20 {
		entry, err := f.store.Get(context.Background(), key)
		if err == nil && string(entry.Value) == text {
			return
		}
		if err == nil {
			if n := f.liveInstance(0); n != nil {
				f.reachStep(StepApply, n)
			}
			_, err = f.store.Swap(context.Background(), plat.Swap{Key: key, Expect: entry.Revision, Value: []byte(text)})
		}
		var conflict plat.Conflict
		if err == nil || errors.As(err, &conflict) {
			return
		}
		_ = clock.Wait(context.Background(), time.Second)
	}
}

// watchStore records the changes that the store accepts, without the store's faults.
func (f *Fleet) watchStore(ctx context.Context) error {
	events, err := f.faultFreeStore.Watch(ctx, conf.Prefix(environment), 0)
	if err != nil {
		return fmt.Errorf("watch store: %w", err)
	}
	f.runInBackground(func() {
		withdrawalPrefix := conf.WithdrawalKey(environment, "")
		for e := range events {
			f.recordStoreChange(e.Entry, withdrawalPrefix)
		}
	})
	return nil
}

func (f *Fleet) recordStoreChange(entry plat.Entry, withdrawalPrefix string) {
	now := time.Now()
	if entry.Key == conf.DocumentKey(environment) {
		f.record(func(o Observations) Observations {
			// The text of a scenario's document is unique, so it serves as the change identifier.
			return o.WithAccepted(Event[value.ChangeID]{Subject: value.ChangeID(entry.Value), Revision: entry.Revision, At: now})
		})
	}
	if v, ok := strings.CutPrefix(entry.Key, withdrawalPrefix); ok {
		f.record(func(o Observations) Observations {
			return o.WithWithdrawn(Event[value.VersionKey]{Subject: value.VersionKey(v), Revision: entry.Revision, At: now})
		})
	}
}

// stop reads the bills that the store holds, ends the fleet and returns all observations.
func (f *Fleet) stop() (Observations, error) {
	segments, err := bills.ReadSegments(context.Background(), f.faultFreeStore)
	observations := f.observations.Get().WithBillSegments(segments)
	for _, n := range f.allInstances() {
		n.stop()
	}
	f.mesh.Drain()
	f.store.Drain()
	f.background.Wait()
	return observations, err
}
