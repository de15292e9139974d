package flow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// slotAllocator allocates slots at backend servers; requests that get none wait in a bounded fair
// queue.
//
// Its lock is taken only by requests that wait and by those that may grant them a slot.
type slotAllocator struct {
	flow    *Flow
	mu      sync.Mutex
	queue   policy.FairQueue[value.AccountName, query.Lane, *waiter]
	waiting atomic.Int64
}

// pendingAcquisition describes a request that needs a slot.
type pendingAcquisition struct {
	request  value.Request
	admitted query.Admitted
	target   query.Target
	estimate query.DurationEstimate
	rnd      *rand.Rand
}

// grant is the result of a wait: a slot or an error.
type grant struct {
	slot *serverSlot
	err  error
}

type waiter struct {
	pendingAcquisition
	granted chan grant
}

// acquire returns a slot at a backend server, at once or after a wait.
func (a *slotAllocator) acquire(ctx context.Context, pending pendingAcquisition) (*serverSlot, error) {
	if a.waiting.Load() == 0 {
		slot, err := a.tryAcquire(pending)
		if !isSaturated(err) {
			return slot, err
		}
	}
	queued, slot, err := a.enqueue(pending)
	if queued == nil {
		return slot, err
	}
	now := a.flow.Now()
	a.flow.Record(value.NewDecision(pending.request, value.StepQueue, now).WithReason(value.ReasonWaiting, ""))
	select {
	case got := <-queued.granted:
		return got.slot, got.err
	case <-ctx.Done():
		return nil, a.cancelWait(queued, context.Cause(ctx))
	}
}

// tryAcquire returns a slot without waiting.
func (a *slotAllocator) tryAcquire(pending pendingAcquisition) (*serverSlot, error) {
	for {
		s := a.flow.Snapshot()
		choice, err := query.Route(s, pending.target, a.flow.loads.Load, pending.rnd, a.flow.Now())
		if err != nil {
			return nil, err
		}
		// Another request may have taken the last slot since the choice; then choose again.
		if slot, ok := a.reserve(s, pending.target, choice); ok {
			return slot, nil
		}
	}
}

func (a *slotAllocator) reserve(s state.State, target query.Target, choice query.Choice) (*serverSlot, bool) {
	at := a.flow.Now()
	ok := a.flow.loads.TryUpdate(choice.Server.ID, func(l value.Load) (value.Load, bool) {
		return l.WithStart(target.Long, at), query.HasCapacity(s, choice.Server.Pool, l, target.Long)
	})
	if !ok {
		return nil, false
	}
	a.flow.stats.throughput(target).Update(query.Throughput.WithStart)
	return &serverSlot{allocator: a, choice: choice, target: target, started: at}, true
}

// enqueue adds the request to the queue and returns its waiter. It returns no waiter if it got a
// slot after all, or if the request is refused.
func (a *slotAllocator) enqueue(pending pendingAcquisition) (*waiter, *serverSlot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// A slot may be released between the call of tryAcquire below and the queueing. With the count
	// raised before, the releasing goroutine waits for the lock and then grants it to this request.
	a.waiting.Store(int64(a.queue.Len()) + 1)
	defer func() { a.waiting.Store(int64(a.queue.Len())) }()
	// A request must not overtake those that wait for the same target.
	if !a.queue.HasWaiting(func(l query.Lane) bool { return l.Serves(pending.target) }) {
		slot, err := a.tryAcquire(pending)
		if !isSaturated(err) {
			return nil, slot, err
		}
	}
	s, now := a.flow.Snapshot(), a.flow.Now()
	queueState := query.QueueStateOf(s, a.queue, pending.admitted, a.flow.stats.throughput(pending.target).Get().PerSecond())
	if err := query.CheckWait(s, pending.admitted, pending.request, pending.estimate, queueState, now); err != nil {
		return nil, nil, err
	}
	queued := &waiter{pendingAcquisition: pending, granted: make(chan grant, 1)}
	a.setQueue(a.queue.With(query.NewQueueEntry(pending.admitted, pending.target, pending.estimate, queued)))
	return queued, nil, nil
}

// cancelWait removes the waiter from the queue. If it has been granted a slot in the meantime, the
// slot is released.
func (a *slotAllocator) cancelWait(cancelled *waiter, cause error) error {
	a.mu.Lock()
	rest, found := a.queue.Without(cancelled.admitted.Account.Name, func(w *waiter) bool { return w == cancelled })
	a.setQueue(rest)
	a.mu.Unlock()
	if found {
		return cause
	}
	if got := <-cancelled.granted; got.slot != nil {
		got.slot.release()
	}
	return cause
}

// grantSlotsOf grants the server's free slots to waiting requests. If the server is removed or
// ejected, the waiting requests try all servers.
func (a *slotAllocator) grantSlotsOf(id value.ServerID) {
	if a.waiting.Load() == 0 {
		return
	}
	s := a.flow.Snapshot()
	server, ok := s.Server(id)
	if !ok || a.flow.loads.Load(id).EjectedUntil.After(a.flow.Now()) {
		a.grantWaiting(a.tryAnyServer)
		return
	}
	a.grantWaiting(func(w *waiter) (grant, bool) {
		choice, ok := query.CheckServer(s, w.target, server, a.flow.loads.Load, a.flow.Now())
		if !ok {
			return grant{}, false
		}
		slot, ok := a.reserve(s, w.target, choice)
		return grant{slot: slot}, ok
	})
}

// tryAnyServer tries to get a slot at any server; a waiter that no server can take any more gets
// the error.
func (a *slotAllocator) tryAnyServer(w *waiter) (grant, bool) {
	slot, err := a.tryAcquire(w.pendingAcquisition)
	if isSaturated(err) {
		return grant{}, false
	}
	return grant{slot: slot, err: err}, true
}

// grantWaiting offers the waiters to the function in fair order and ends the wait of those for
// which it returns a grant.
func (a *slotAllocator) grantWaiting(find func(*waiter) (grant, bool)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		var found grant
		w, rest, ok := a.queue.Next(func(w *waiter) bool {
			got, ok := find(w)
			found = got
			return ok
		})
		if !ok {
			return
		}
		a.setQueue(rest)
		w.granted <- found
	}
}

// setQueue replaces the queue; the caller holds the lock.
func (a *slotAllocator) setQueue(q policy.FairQueue[value.AccountName, query.Lane, *waiter]) {
	a.queue = q
	a.waiting.Store(int64(q.Len()))
}

func isSaturated(err error) bool {
	var refusal value.Refusal
	return errors.As(err, &refusal) && refusal.Reason == value.ReasonOverloaded
}
