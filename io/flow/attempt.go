package flow

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// attempt is one send of a request to one backend server. Its goroutine reads the answer up to the
// first piece; relay reads the rest.
type attempt struct {
	slot   *serverSlot
	cancel context.CancelFunc
	answer engine.Answer
	first  engine.Piece
	// receivedAt is when the first piece or the error was received.
	receivedAt time.Time
	// err is io.EOF for a complete answer without pieces.
	err  error
	once sync.Once
}

func (a *attempt) hasAnswer() bool {
	return a.answer != nil && (a.err == nil || isComplete(a.err))
}

// isComplete reports whether the error marks the end of a complete answer. A connection that is cut
// off may be an io.EOF too, joined with engine.ErrTruncated.
func isComplete(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrTruncated)
}

// end cancels the attempt and releases its slot; calls after the first do nothing.
func (a *attempt) end() {
	a.once.Do(func() {
		a.cancel()
		if a.answer != nil {
			a.answer.Cancel()
		}
		a.slot.release()
	})
}

// attemptRace runs a first attempt and at most one hedged attempt concurrently.
type attemptRace struct {
	execution *execution
	target    query.Target
	running   []*attempt
	done      chan *attempt
}

// maxRacingAttempts is the number of attempts in a race: the first one and a hedged one.
const maxRacingAttempts = 2

// runRace starts an attempt, and a hedged one if the first piece is late. It returns the attempt
// that gets an answer first, and cancels the other. It fails once no attempt is left, or at the first
// failure that the request itself caused.
func (e *execution) runRace(ctx context.Context, target query.Target, slot *serverSlot) (*attempt, error) {
	race := &attemptRace{execution: e, target: target, done: make(chan *attempt, maxRacingAttempts)}
	if err := e.lifecycle.apply(ctx, eventDispatch); err != nil {
		slot.release()
		return nil, err
	}
	race.startAttempt(ctx, slot)
	late, stop := e.hedgeTimer()
	defer stop()
	for {
		select {
		case ended := <-race.done:
			race.remove(ended)
			if ended.hasAnswer() {
				race.cancelRemaining()
				e.observeFirstToken(ended)
				if err := e.lifecycle.apply(ctx, eventHead); err != nil {
					ended.end()
					return nil, err
				}
				return ended, nil
			}
			race.handleFailure(ctx, ended)
			if len(race.running) == 0 || isRequestFault(ended.err) {
				race.cancelRemaining()
				return nil, ended.err
			}
		case <-late:
			late = nil
			race.startHedge(ctx)
		case <-ctx.Done():
			race.cancelRemaining()
			return nil, context.Cause(ctx)
		}
	}
}

// startAttempt starts an attempt in the slot. The attempt counts as sent before it is started, so
// that no failure on the way is reported as not sent by mistake.
func (r *attemptRace) startAttempt(ctx context.Context, slot *serverSlot) {
	e := r.execution
	call := e.job.Call
	call.Request = e.job.Request.ID
	call.Version = r.target.Version
	call.Priority = e.admitted.Kind.Priority
	e.attempts++
	e.sentAttempts++
	e.triedServers = append(e.triedServers, slot.choice.Server.ID)
	ctx, cancel := context.WithCancel(ctx)
	started := &attempt{slot: slot, cancel: cancel}
	r.running = append(r.running, started)
	go func() {
		started.answer, started.err = e.flow.Runner.Start(ctx, slot.choice.Server, call)
		if started.err == nil {
			started.first, started.err = started.answer.Next(ctx)
		}
		started.receivedAt = e.flow.Now()
		r.done <- started
	}()
}

func (r *attemptRace) remove(ended *attempt) {
	for i, other := range r.running {
		if other == ended {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

// handleFailure ends a failed attempt and attributes the failure to its server, unless the request
// or the caller caused it.
func (r *attemptRace) handleFailure(ctx context.Context, failed *attempt) {
	defer failed.end()
	if errors.Is(failed.err, engine.ErrNotSent) {
		r.execution.sentAttempts--
	}
	if ctx.Err() != nil || isRequestFault(failed.err) {
		return
	}
	failed.slot.observeFailure(r.execution, failed.err)
}

// isRequestFault reports whether the request itself caused the failure, so that a retry at another
// server would fail too.
func isRequestFault(err error) bool {
	var status engine.StatusError
	return errors.As(err, &status) && status.Permanent()
}

// cancelRemaining cancels the attempts that still run and counts their elapsed time against their
// servers. The slot of each is released once it has ended.
func (r *attemptRace) cancelRemaining() {
	now := r.execution.flow.Now()
	for _, remaining := range r.running {
		remaining.cancel()
		remaining.slot.observeCancelled(r.execution, now.Sub(remaining.slot.started))
	}
	n := len(r.running)
	if n == 0 {
		return
	}
	done := r.done
	go func() {
		for range n {
			ended := <-done
			ended.end()
		}
	}()
}

// hedgeTimer returns a channel that fires when a hedged attempt is due, or nil if none is allowed;
// the returned function stops the timer.
func (e *execution) hedgeTimer() (<-chan time.Time, func()) {
	after := query.HedgeDelay(e.flow.Snapshot(), e.admitted.Kind, e.flow.stats.history(e.job.Request))
	if after == 0 || e.attempts >= e.admitted.Kind.MaxAttempts {
		return nil, func() {}
	}
	t := time.NewTimer(after)
	return t.C, func() { t.Stop() }
}

// startHedge starts a hedged attempt if a server has capacity now and the budget allows it. Waiting
// requests come first, so there is no hedged attempt while any request waits for capacity.
func (r *attemptRace) startHedge(ctx context.Context) {
	e := r.execution
	target := r.target
	target.Tried = e.triedServers
	if e.flow.slots.waiting.Load() > 0 {
		return
	}
	slot, err := e.flow.slots.tryAcquire(pendingAcquisition{request: e.job.Request, admitted: e.admitted, target: target, estimate: e.estimate, rnd: e.rnd})
	if err != nil {
		return
	}
	if !spendBudget(&e.flow.stats.hedges, query.HedgeBudget(e.flow.Snapshot())) {
		slot.release()
		return
	}
	e.record(e.newDecision(value.StepHedge).WithChoice(target.Version, slot.choice.Server.ID, slot.choice.Candidates, value.ReasonHedged))
	r.startAttempt(ctx, slot)
}

func (e *execution) observeFirstToken(winner *attempt) {
	elapsed := winner.receivedAt.Sub(winner.slot.started)
	e.flow.stats.observeFirstToken(e.job.Request, elapsed)
	winner.slot.observeFirstToken(e, elapsed)
}

// relay writes the winner's answer piece by piece until it is complete; any read error counts as a
// failure of the server.
func (e *execution) relay(ctx context.Context, target query.Target, winner *attempt) error {
	head := winner.answer.Head()
	if err := e.beginAnswer(head, target.Version); err != nil {
		return err
	}
	piece, err := winner.first, winner.err
	for err == nil {
		if err := e.writePiece(piece); err != nil {
			if errors.Is(err, errTooLong) {
				winner.slot.observeFailure(e, err)
			}
			return err
		}
		piece, err = winner.answer.Next(ctx)
	}
	if !isComplete(err) {
		winner.slot.observeFailure(e, err)
		return err
	}
	return e.lifecycle.apply(ctx, eventComplete)
}
