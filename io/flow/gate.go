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

// gate hands out places at backend servers; requests that find none wait in a bounded, fair queue.
//
// Its lock is taken only by requests that wait and by those that may serve them.
type gate struct {
	flow    *Flow
	mu      sync.Mutex
	queue   policy.FairQueue[value.AccountName, query.Lane, *waiter]
	waiting atomic.Int64
}

// quest is a request in search of a place.
type quest struct {
	request  value.Request
	admitted query.Admitted
	target   query.Target
	length   query.DurationEstimate
	rnd      *rand.Rand
}

// grant ends a wait: with a place or an error.
type grant struct {
	place *place
	err   error
}

type waiter struct {
	quest
	granted chan grant
}

// acquire returns a place at a backend server, at once or after a wait.
func (g *gate) acquire(ctx context.Context, q quest) (*place, error) {
	if g.waiting.Load() == 0 {
		p, err := g.try(q)
		if !crowded(err) {
			return p, err
		}
	}
	w, p, err := g.enter(q)
	if w == nil {
		return p, err
	}
	now := g.flow.Now()
	g.flow.Record(value.NewDecision(q.request, value.StepQueue, now).WithReason(value.ReasonWaiting, ""))
	select {
	case got := <-w.granted:
		return got.place, got.err
	case <-ctx.Done():
		return nil, g.abandon(w, context.Cause(ctx))
	}
}

// try takes a place without waiting.
func (g *gate) try(q quest) (*place, error) {
	for {
		s := g.flow.Snapshot()
		choice, err := query.Route(s, q.target, g.flow.board.Load, q.rnd, g.flow.Now())
		if err != nil {
			return nil, err
		}
		// Another request may have taken the last place since the choice.
		if p, ok := g.reserve(s, q.target, choice); ok {
			return p, nil
		}
	}
}

func (g *gate) reserve(s state.State, t query.Target, c query.Choice) (*place, bool) {
	at := g.flow.Now()
	ok := g.flow.board.TryUpdate(c.Server.ID, func(l value.Load) (value.Load, bool) {
		return l.WithStart(t.Long, at), query.HasCapacity(s, c.Server.Pool, l, t.Long)
	})
	if !ok {
		return nil, false
	}
	g.flow.past.pace(t).Update(query.Throughput.WithStart)
	return &place{gate: g, choice: c, target: t, started: at}, true
}

// enter lets the request wait, unless a place has become free or waiting is of no use.
func (g *gate) enter(q quest) (*waiter, *place, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Whoever frees a place after the search below must see that someone may wait for it.
	g.waiting.Store(int64(g.queue.Len()) + 1)
	defer func() { g.waiting.Store(int64(g.queue.Len())) }()
	// A request must not pass those that wait for the same target.
	if !g.queue.HasWaiting(func(l query.Lane) bool { return l.Serves(q.target) }) {
		p, err := g.try(q)
		if !crowded(err) {
			return nil, p, err
		}
	}
	s, now := g.flow.Snapshot(), g.flow.Now()
	line := query.QueueStateOf(s, g.queue, q.admitted, g.flow.past.pace(q.target).Get().PerSecond())
	if err := query.CheckWait(s, q.admitted, q.request, q.length, line, now); err != nil {
		return nil, nil, err
	}
	w := &waiter{quest: q, granted: make(chan grant, 1)}
	g.set(g.queue.With(query.NewQueueEntry(q.admitted, q.target, q.length, w)))
	return w, nil, nil
}

// abandon takes the waiter out; a place that it was granted meanwhile goes back.
func (g *gate) abandon(w *waiter, cause error) error {
	g.mu.Lock()
	rest, found := g.queue.Without(w.admitted.Account.Name, func(v *waiter) bool { return v == w })
	g.set(rest)
	g.mu.Unlock()
	if found {
		return cause
	}
	if got := <-w.granted; got.place != nil {
		got.place.free()
	}
	return cause
}

// served gives the server's free places to those who wait for them.
func (g *gate) served(id value.ServerID) {
	if g.waiting.Load() == 0 {
		return
	}
	s := g.flow.Snapshot()
	b, ok := s.Server(id)
	if !ok || g.flow.board.Load(id).EjectedUntil.After(g.flow.Now()) {
		g.serve(g.anywhere)
		return
	}
	g.serve(func(w *waiter) (grant, bool) {
		choice, ok := query.ChooseServer(s, w.target, b, g.flow.board.Load, g.flow.Now())
		if !ok {
			return grant{}, false
		}
		p, ok := g.reserve(s, w.target, choice)
		return grant{place: p}, ok
	})
}

// anywhere looks for a place at all servers; a waiter that no server can take any more is refused.
func (g *gate) anywhere(w *waiter) (grant, bool) {
	p, err := g.try(w.quest)
	if crowded(err) {
		return grant{}, false
	}
	return grant{place: p, err: err}, true
}

// serve grants as many waiters as the function finds a place for, in fair order.
func (g *gate) serve(find func(*waiter) (grant, bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		var found grant
		w, rest, ok := g.queue.Next(func(w *waiter) bool {
			got, ok := find(w)
			found = got
			return ok
		})
		if !ok {
			return
		}
		g.set(rest)
		w.granted <- found
	}
}

// set is called with the lock held.
func (g *gate) set(q policy.FairQueue[value.AccountName, query.Lane, *waiter]) {
	g.queue = q
	g.waiting.Store(int64(q.Len()))
}

func crowded(err error) bool {
	var refusal value.Refusal
	return errors.As(err, &refusal) && refusal.Reason == value.ReasonOverloaded
}
