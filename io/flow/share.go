package flow

import (
	"context"
	"errors"
	"sync"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// errNobodyLeft ends a shared run that no caller waits for any more.
var errNobodyLeft = errors.New("all callers of the shared run have gone")

// flights holds the shared runs in flight.
type flights struct {
	mu     sync.Mutex
	flying map[query.ShareKey]*flight
}

// flight is one shared run; its feed is written by the run's goroutine alone.
type flight struct {
	feed   policy.Cell[feed]
	cancel context.CancelCauseFunc
	// callers is guarded by the lock of flights.
	callers int
}

// feed is what a shared run has produced so far.
type feed struct {
	head    engine.Head
	version value.VersionKey
	begun   bool
	pieces  []engine.Piece
	ended   bool
	result  produced
	runs    int
	err     error
	// changed is closed once there is a newer feed.
	changed chan struct{}
}

func newFlights() *flights {
	return &flights{flying: make(map[query.ShareKey]*flight)}
}

// join returns the shared run for the key, and whether the caller is its first.
func (f *flights) join(k query.ShareKey, start func() *flight) (*flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if one, ok := f.flying[k]; ok {
		one.callers++
		return one, false
	}
	one := start()
	one.callers = 1
	f.flying[k] = one
	return one, true
}

// leave cancels the run once its last caller has gone.
func (f *flights) leave(k query.ShareKey, one *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	one.callers--
	if one.callers > 0 {
		return
	}
	f.remove(k, one)
	one.cancel(errNobodyLeft)
}

// end takes a run that has ended out, so that nobody joins it.
func (f *flights) end(k query.ShareKey, one *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(k, one)
}

func (f *flights) remove(k query.ShareKey, one *flight) {
	if f.flying[k] == one {
		delete(f.flying, k)
	}
}

// sharedTries bounds how many shared runs one request waits for.
const sharedTries = 2

// executeShared answers from a run that other callers with the same question may use too.
func (r *run) executeShared(ctx context.Context) (Result, error) {
	key := query.ShareKeyOf(r.job.Request)
	for try := 1; ; try++ {
		p, leads, err := r.fly(ctx, key)
		if err == nil {
			return r.finish(ctx, p)
		}
		// A run that failed for the caller that started it may still succeed for the others.
		if leads || r.begun || ctx.Err() != nil || try == sharedTries {
			return Result{}, err
		}
		if err := r.life.move(ctx, eventLeave); err != nil {
			return Result{}, err
		}
	}
}

func (r *run) fly(ctx context.Context, key query.ShareKey) (produced, bool, error) {
	one, leads := r.flow.flights.join(key, func() *flight { return r.takeOff(ctx, key) })
	defer r.flow.flights.leave(key, one)
	if !leads {
		r.record(r.decision(value.StepShare).WithReason(value.ReasonShared, ""))
	}
	if err := r.life.move(ctx, eventJoin); err != nil {
		return produced{}, leads, err
	}
	last, err := r.watch(ctx, one)
	if err != nil {
		return produced{}, leads, err
	}
	if leads {
		r.attempts = last.runs
	}
	if last.err != nil {
		return produced{}, leads, last.err
	}
	return last.result, leads, r.life.move(ctx, eventComplete)
}

// takeOff starts a run that ends with its deadline or its last caller, whoever that is.
func (r *run) takeOff(ctx context.Context, key query.ShareKey) *flight {
	lasting, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	lasting, stop := context.WithDeadline(lasting, r.job.Request.Deadline)
	one := &flight{cancel: cancel}
	one.feed.Update(func(feed) feed { return feed{changed: make(chan struct{})} })
	worker := newRun(r.flow, r.job, one)
	worker.admitted = r.admitted
	worker.length = r.length
	go func() {
		defer stop()
		p, err := worker.lead(lasting)
		r.flow.flights.end(key, one)
		one.put(func(f feed) feed {
			f.ended, f.result, f.runs, f.err = true, p, worker.attempts, err
			return f
		})
	}()
	return one
}

// lead produces the shared answer; its error is a refusal that says truly whether anything was dispatched.
func (r *run) lead(ctx context.Context) (produced, error) {
	if err := r.life.move(ctx, eventAdmit); err != nil {
		return produced{}, err
	}
	p, err := r.produce(ctx)
	if err != nil {
		return produced{}, r.refused(ctx, err)
	}
	return p, nil
}

// watch passes the shared answer on as it grows, and returns its last state.
func (r *run) watch(ctx context.Context, one *flight) (feed, error) {
	for passed := 0; ; {
		now := one.feed.Get()
		if now.begun {
			if err := r.begin(now.head, now.version); err != nil {
				return feed{}, err
			}
		}
		for _, p := range now.pieces[passed:] {
			if err := r.pass(p); err != nil {
				return feed{}, err
			}
		}
		passed = len(now.pieces)
		if now.ended {
			r.noteSent(now)
			return now, nil
		}
		select {
		case <-now.changed:
		case <-ctx.Done():
			// The run may be under way on this caller's behalf.
			r.sends++
			return feed{}, context.Cause(ctx)
		}
	}
}

func (r *run) noteSent(last feed) {
	var refusal value.Refusal
	if errors.As(last.err, &refusal) && refusal.NotRun {
		return
	}
	r.sends++
}

func (f *flight) put(next func(feed) feed) {
	var was chan struct{}
	f.feed.Update(func(old feed) feed {
		was = old.changed
		now := next(old)
		now.changed = make(chan struct{})
		return now
	})
	close(was)
}

// Begin takes the head of the shared answer.
func (f *flight) Begin(h engine.Head, v value.VersionKey) error {
	f.put(func(old feed) feed {
		old.head, old.version, old.begun = h, v, true
		return old
	})
	return nil
}

// Write takes the next piece of the shared answer.
func (f *flight) Write(p engine.Piece) error {
	f.put(func(old feed) feed {
		// The one writer appends to the latest list only, behind the end that any reader sees.
		old.pieces = append(old.pieces, p)
		return old
	})
	return nil
}

// End is not called: each caller's own sink learns that the answer is whole.
func (f *flight) End(engine.Usage) error {
	return nil
}
