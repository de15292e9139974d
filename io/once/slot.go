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

// submission is an operation that waits at its slot; its channel takes one result.
type submission struct {
	ctx  context.Context
	op   ledger.Op
	done chan result
}

type result struct {
	verdict ledger.Verdict
	err     error
}

// slot gathers the operations of one journal; one worker at a time writes them in groups.
type slot struct {
	guard  *Guard
	number int

	mu      sync.Mutex
	queue   []submission
	working bool

	// The fields below belong to the worker.
	known   page
	written time.Time
}

// page is a journal as it stood at a revision.
type page struct {
	journal  ledger.Journal
	revision int64
	// cached is set where the next decision may stand on the page without asking the store.
	cached bool
	// valid is false where nothing is known.
	valid bool
}

var errSlotBusy = errors.New("too many operations wait at the slot")

// unsure is the error of an operation that may have been written.
type unsure struct {
	cause error
}

// Error states the cause.
func (u unsure) Error() string {
	return "may have been written: " + u.cause.Error()
}

// Unwrap returns the cause.
func (u unsure) Unwrap() error {
	return u.cause
}

func unsureIf(written bool, err error) error {
	if written {
		return unsure{err}
	}
	return err
}

// do hands the operation to the slot's worker and waits for the verdict.
func (s *slot) do(ctx context.Context, op ledger.Op) (ledger.Verdict, error) {
	sub := submission{ctx: ctx, op: op, done: make(chan result, 1)}
	if err := s.enqueue(sub); err != nil {
		return ledger.Verdict{}, err
	}
	select {
	case r := <-sub.done:
		return r.verdict, r.err
	case <-ctx.Done():
		return ledger.Verdict{}, unsure{fmt.Errorf("await journal: %w", ctx.Err())}
	}
}

func (s *slot) enqueue(sub submission) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= s.guard.config.Queue {
		return errSlotBusy
	}
	s.queue = append(s.queue, sub)
	if s.working {
		return nil
	}
	s.working = s.guard.start(s.work)
	if !s.working {
		s.queue = nil
		return errClosed
	}
	return nil
}

// work writes groups until none is left. The wait for the write budget comes before the group is
// taken, so that all that arrive during the wait go into the same write.
func (s *slot) work() {
	ctx := s.guard.ctx
	for s.waiting() {
		err := clock.Wait(ctx, s.written.Add(s.guard.config.Interval).Sub(s.guard.config.Now()))
		if err == nil {
			err = s.guard.limiter.Wait(ctx)
		}
		group := s.take()
		if err != nil {
			answer(group, nil, err)
			continue
		}
		if len(group) > 0 {
			s.commit(ctx, group)
			s.written = s.guard.config.Now()
		}
	}
}

// waiting reports whether there is work; where there is none, the worker's place is given up.
func (s *slot) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working = len(s.queue) > 0
	return s.working
}

// take removes the next group from the queue and drops operations whose callers have gone.
func (s *slot) take() []submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), s.guard.config.Group)
	var group []submission
	for _, sub := range s.queue[:n] {
		if sub.ctx.Err() == nil {
			group = append(group, sub)
		}
	}
	s.queue = append([]submission(nil), s.queue[n:]...)
	return group
}

func answer(group []submission, verdicts []ledger.Verdict, err error) {
	for i, sub := range group {
		r := result{err: err}
		if err == nil {
			r.verdict = verdicts[i]
		}
		sub.done <- r
	}
}
