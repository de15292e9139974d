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

// errNoCallersLeft is the cause with which a shared execution is cancelled when its last caller has
// left.
var errNoCallersLeft = errors.New("all callers of the shared run have gone")

// sharedExecutions holds the shared executions in flight.
type sharedExecutions struct {
	mu    sync.Mutex
	byKey map[query.ShareKey]*sharedExecution
}

// sharedExecution is one execution whose answer goes to several callers. It is the response writer
// of that execution, whose goroutine is the only one to update the answer.
type sharedExecution struct {
	answer policy.Cell[sharedAnswer]
	// account counts the pieces of the answer.
	account *policy.BufferAccount
	cancel  context.CancelCauseFunc
	// callers is guarded by the lock of sharedExecutions.
	callers int
}

// sharedAnswer is the answer of a shared execution as far as it has been produced.
type sharedAnswer struct {
	head     engine.Head
	version  value.VersionKey
	started  bool
	pieces   []engine.Piece
	ended    bool
	result   completeAnswer
	attempts int
	err      error
	// changed is closed once there is a newer sharedAnswer.
	changed chan struct{}
}

func newSharedExecutions() *sharedExecutions {
	return &sharedExecutions{byKey: make(map[query.ShareKey]*sharedExecution)}
}

// join adds a caller to the shared execution for the key. If there is none, it starts one and
// reports true.
func (s *sharedExecutions) join(k query.ShareKey, start func() *sharedExecution) (*sharedExecution, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if running, ok := s.byKey[k]; ok {
		running.callers++
		return running, false
	}
	shared := start()
	shared.callers = 1
	s.byKey[k] = shared
	return shared, true
}

// leave removes a caller, and cancels the shared execution if it was the last one.
func (s *sharedExecutions) leave(k query.ShareKey, shared *sharedExecution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared.callers--
	if shared.callers > 0 {
		return
	}
	s.remove(k, shared)
	shared.cancel(errNoCallersLeft)
	shared.account.Close()
}

// end removes a shared execution that has ended, so that no caller joins it.
func (s *sharedExecutions) end(k query.ShareKey, shared *sharedExecution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(k, shared)
}

func (s *sharedExecutions) remove(k query.ShareKey, shared *sharedExecution) {
	if s.byKey[k] == shared {
		delete(s.byKey, k)
	}
}

// maxSharedTries limits how many shared executions one request waits for.
const maxSharedTries = 2

// executeShared answers from an execution that is shared with other callers that send the same
// request.
func (e *execution) executeShared(ctx context.Context) (Result, error) {
	key := query.ShareKeyOf(e.job.Request)
	for try := 1; ; try++ {
		answer, isLeader, err := e.joinShared(ctx, key)
		if err == nil {
			return e.finish(ctx, answer)
		}
		// A caller that joined may try again: the shared execution had the deadline of the caller
		// that started it, which may be earlier than its own.
		if isLeader || e.answerStarted || ctx.Err() != nil || try == maxSharedTries {
			return Result{}, err
		}
		if err := e.lifecycle.apply(ctx, eventLeave); err != nil {
			return Result{}, err
		}
	}
}

func (e *execution) joinShared(ctx context.Context, key query.ShareKey) (completeAnswer, bool, error) {
	shared, isLeader := e.flow.shared.join(key, func() *sharedExecution { return e.startShared(ctx, key) })
	defer e.flow.shared.leave(key, shared)
	if !isLeader {
		e.record(e.newDecision(value.StepShare).WithReason(value.ReasonShared, ""))
	}
	if err := e.lifecycle.apply(ctx, eventJoin); err != nil {
		return completeAnswer{}, isLeader, err
	}
	last, err := e.relayShared(ctx, shared)
	if err != nil {
		return completeAnswer{}, isLeader, err
	}
	if isLeader {
		e.attempts = last.attempts
	}
	if last.err != nil {
		return completeAnswer{}, isLeader, last.err
	}
	return last.result, isLeader, e.lifecycle.apply(ctx, eventComplete)
}

// startShared starts an execution that ends with the deadline of this request or when its last
// caller leaves; this caller may leave before the others.
func (e *execution) startShared(ctx context.Context, key query.ShareKey) *sharedExecution {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	detached, stop := context.WithDeadline(detached, e.job.Request.Deadline)
	shared := &sharedExecution{cancel: cancel, account: e.flow.held.Open()}
	shared.answer.Update(func(sharedAnswer) sharedAnswer { return sharedAnswer{changed: make(chan struct{})} })
	leader := newExecution(e.flow, e.job, shared)
	leader.admitted = e.admitted
	leader.estimate = e.estimate
	go func() {
		defer stop()
		answer, err := leader.produceShared(detached)
		e.flow.shared.end(key, shared)
		shared.update(func(old sharedAnswer) sharedAnswer {
			old.ended, old.result, old.attempts, old.err = true, answer, leader.attempts, err
			return old
		})
	}()
	return shared
}

// produceShared produces the shared answer; the error is a value.Refusal whose NotRun says whether
// anything was dispatched.
func (e *execution) produceShared(ctx context.Context) (completeAnswer, error) {
	if err := e.lifecycle.apply(ctx, eventAdmit); err != nil {
		return completeAnswer{}, err
	}
	answer, err := e.produce(ctx)
	if err != nil {
		return completeAnswer{}, e.refuse(ctx, err)
	}
	return answer, nil
}

// relayShared writes the pieces of the shared answer to this caller as they are added, and returns
// the answer's final state.
func (e *execution) relayShared(ctx context.Context, shared *sharedExecution) (sharedAnswer, error) {
	for written := 0; ; {
		current := shared.answer.Get()
		if current.started {
			if err := e.beginAnswer(current.head, current.version); err != nil {
				return sharedAnswer{}, err
			}
		}
		for _, p := range current.pieces[written:] {
			if err := e.writePiece(p); err != nil {
				return sharedAnswer{}, err
			}
		}
		written = len(current.pieces)
		if current.ended {
			e.countSharedAttempt(current)
			return current, nil
		}
		select {
		case <-current.changed:
		case <-ctx.Done():
			// An attempt may be running on this caller's behalf.
			e.sentAttempts++
			return sharedAnswer{}, context.Cause(ctx)
		}
	}
}

// countSharedAttempt counts an attempt as sent, unless the shared execution was refused without
// having sent any. A caller's own refusal says by this count whether its request may have run.
func (e *execution) countSharedAttempt(last sharedAnswer) {
	var refusal value.Refusal
	if errors.As(last.err, &refusal) && refusal.NotRun {
		return
	}
	e.sentAttempts++
}

// update replaces the answer by the function's result and wakes up the callers that wait for it.
func (s *sharedExecution) update(next func(sharedAnswer) sharedAnswer) {
	var previous chan struct{}
	s.answer.Update(func(old sharedAnswer) sharedAnswer {
		previous = old.changed
		updated := next(old)
		updated.changed = make(chan struct{})
		return updated
	})
	close(previous)
}

// WriteHead adds the head of the shared answer.
func (s *sharedExecution) WriteHead(h engine.Head, v value.VersionKey) error {
	s.update(func(old sharedAnswer) sharedAnswer {
		old.head, old.version, old.started = h, v, true
		return old
	})
	return nil
}

// Write adds the next piece of the shared answer; the error is errTooLong.
func (s *sharedExecution) Write(p engine.Piece) error {
	if err := keepPiece(s.account, p); err != nil {
		return err
	}
	s.update(func(old sharedAnswer) sharedAnswer {
		// There is one writer, which always appends to the latest list. Readers hold lists that end
		// before the appended element, so they may share the array.
		old.pieces = append(old.pieces, p)
		return old
	})
	return nil
}

// End is never called: each caller's own writer is ended once its bill is stored.
func (s *sharedExecution) End(engine.Usage) error {
	return nil
}
