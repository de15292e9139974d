package once

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/io/clock"
)

// submission is an operation in the queue of its slot. done has room for its one result, so that the worker
// does not wait for a caller that has stopped waiting.
type submission struct {
	ctx  context.Context
	op   ledger.Op
	done chan result
}

type result struct {
	verdict ledger.Verdict
	err     error
}

// slot queues the operations on the journal of one hash slot; at most one worker at a time writes them, in
// groups.
type slot struct {
	guard  *Guard
	number int

	mu        sync.Mutex
	queue     []submission
	hasWorker bool

	// The fields below are used by the worker only.
	last snapshot
	// written is the time at which the latest commit of a group ended, also without success.
	written time.Time
}

// snapshot is a journal at a revision.
type snapshot struct {
	journal  ledger.Journal
	revision int64
	// fromWrite is set if this worker wrote the snapshot itself, so that the next decision may be
	// based on it without a read from the store.
	fromWrite bool
	// valid is false in the zero value, which stands for no known journal.
	valid bool
}

var errSlotBusy = errors.New("too many operations wait at the slot")

// uncertainError is the error of an operation whose write may have taken effect.
type uncertainError struct {
	cause error
}

// Error gives the cause.
func (u uncertainError) Error() string {
	return "may have been written: " + u.cause.Error()
}

// Unwrap returns the cause.
func (u uncertainError) Unwrap() error {
	return u.cause
}

// uncertainIf wraps the error in an uncertainError if a write may have taken effect.
func uncertainIf(mayBeWritten bool, err error) error {
	if mayBeWritten {
		return uncertainError{err}
	}
	return err
}

// submit queues the operation for the slot's worker and waits for the verdict.
func (s *slot) submit(ctx context.Context, op ledger.Op) (ledger.Verdict, error) {
	sub := submission{ctx: ctx, op: op, done: make(chan result, 1)}
	if err := s.enqueue(sub); err != nil {
		return ledger.Verdict{}, err
	}
	select {
	case r := <-sub.done:
		return r.verdict, r.err
	case <-ctx.Done():
		return ledger.Verdict{}, uncertainError{fmt.Errorf("await journal: %w", ctx.Err())}
	}
}

// enqueue appends the submission to the queue and starts a worker if none is running.
func (s *slot) enqueue(sub submission) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= s.guard.config.MaxQueue {
		return errSlotBusy
	}
	s.queue = append(s.queue, sub)
	if s.hasWorker {
		return nil
	}
	s.hasWorker = s.guard.start(s.runWorker)
	if !s.hasWorker {
		s.queue = nil
		return errClosed
	}
	return nil
}

// runWorker writes groups until the queue is empty. It waits for the write interval and rate before
// it takes a group, so that operations that arrive during the wait go into the same write.
func (s *slot) runWorker() {
	ctx := s.guard.ctx
	for s.hasWork() {
		err := clock.Wait(ctx, s.written.Add(s.guard.config.WriteInterval).Sub(s.guard.config.Now()))
		if err == nil {
			err = s.guard.limiter.Wait(ctx)
		}
		group := s.takeGroup()
		if err != nil {
			deliver(group, nil, err)
			continue
		}
		if len(group) > 0 {
			s.commit(ctx, group)
			s.written = s.guard.config.Now()
		}
	}
}

// hasWork reports whether operations are queued; if none are, it also marks the worker as stopped.
func (s *slot) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasWorker = len(s.queue) > 0
	return s.hasWorker
}

// takeGroup removes the next group from the queue and drops the operations whose context is done.
func (s *slot) takeGroup() []submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), s.guard.config.MaxGroup)
	var group []submission
	for _, sub := range s.queue[:n] {
		if sub.ctx.Err() == nil {
			group = append(group, sub)
		}
	}
	s.queue = append([]submission(nil), s.queue[n:]...)
	return group
}

// deliver sends each submission its verdict, or the error if there is one.
func deliver(group []submission, verdicts []ledger.Verdict, err error) {
	for i, sub := range group {
		r := result{err: err}
		if err == nil {
			r.verdict = verdicts[i]
		}
		sub.done <- r
	}
}
