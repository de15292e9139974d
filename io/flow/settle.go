package flow

import (
	"bytes"
	"context"
	"errors"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// pieceSeparator separates the stored pieces of a streamed answer, which contain no line breaks.
var pieceSeparator = []byte("\n")

// settleTimeout limits the time to store the bill and the answer, and to mark or release a claim;
// these are done even if the caller has left.
const settleTimeout = 10 * time.Second

// executeOnce executes a request that must run at most once, under a claim of its idempotency key.
func (e *execution) executeOnce(ctx context.Context) (Result, error) {
	claim, stored, err := e.flow.Guard.Claim(ctx, e.job.Request)
	if err != nil {
		return Result{}, err
	}
	if stored != nil {
		return e.replay(*stored)
	}
	e.claim = claim
	e.stored = newAnswerRecord()
	settled := false
	// A panic in the response writer must not leave the claim open.
	defer func() {
		if !settled {
			_ = e.settleFailure(ctx)
		}
	}()
	// The execution continues when the caller leaves: its effect cannot be undone, and the stored
	// answer serves the caller's next call with the same key.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.job.Request.Deadline)
	defer cancel()
	answer, err := e.produce(detached)
	if err == nil {
		err = e.storeResult(detached, answer)
	}
	settled = true
	if err != nil {
		return Result{}, errors.Join(err, e.settleFailure(ctx))
	}
	return e.endAnswer(ctx, answer)
}

// storeResult stores the bill and then the answer. Success settles the claim.
func (e *execution) storeResult(ctx context.Context, answer completeAnswer) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := e.storeBill(ctx, answer); err != nil {
		return err
	}
	return e.claim.Finish(ctx, e.stored.answer(answer.head))
}

// settleFailure marks the claim as in doubt if an attempt may have been sent, and releases it
// otherwise.
func (e *execution) settleFailure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if e.sentAttempts > 0 {
		return e.claim.MarkInDoubt(ctx)
	}
	return e.claim.Release(ctx)
}

func (e *execution) replay(stored StoredAnswer) (Result, error) {
	if err := e.beginAnswer(stored.Head, ""); err != nil {
		return Result{}, err
	}
	for _, data := range e.splitPieces(stored.Body) {
		if err := e.writer.Write(engine.Piece{Data: data}); err != nil {
			return Result{}, err
		}
	}
	return Result{}, e.writer.End(engine.Usage{})
}

// splitPieces splits a stored body into pieces; those of a streamed answer are stored one per line.
func (e *execution) splitPieces(body []byte) [][]byte {
	if !e.job.Call.Stream {
		return [][]byte{body}
	}
	return bytes.Split(body, pieceSeparator)
}

// beginAnswer passes the answer's head to the response writer, unless that has been done. Under a
// claim, a write error does not end the execution.
func (e *execution) beginAnswer(head engine.Head, version value.VersionKey) error {
	if e.answerStarted {
		return nil
	}
	e.answerStarted = true
	return e.tolerateWriteError(e.writer.WriteHead(head, version))
}

func (e *execution) writePiece(piece engine.Piece) error {
	if e.claim != nil {
		e.storePiece(piece)
	}
	if e.callerErr != nil {
		return nil
	}
	return e.tolerateWriteError(e.writer.Write(piece))
}

func (e *execution) storePiece(piece engine.Piece) {
	if e.job.Call.Stream && e.stored.bytes > 0 {
		e.stored.add(pieceSeparator)
	}
	e.stored.add(piece.Data)
}

// tolerateWriteError sets callerErr to a write error under a claim, so that the execution
// continues, and returns the error otherwise.
func (e *execution) tolerateWriteError(err error) error {
	if e.claim == nil || err == nil {
		return err
	}
	e.callerErr = err
	return nil
}

// finish stores the bill and then ends the answer to the caller.
func (e *execution) finish(ctx context.Context, answer completeAnswer) (Result, error) {
	if err := e.storeBill(ctx, answer); err != nil {
		return Result{}, err
	}
	return e.endAnswer(ctx, answer)
}

func (e *execution) storeBill(ctx context.Context, answer completeAnswer) error {
	bill := e.newBill(answer)
	if err := e.flow.Biller.StoreBill(ctx, bill); err != nil {
		return err
	}
	e.record(e.newDecision(value.StepBill).WithChoice(answer.target.Version, answer.server, 1, value.ReasonAnswered).WithCost(bill.CostMicros))
	return e.lifecycle.apply(ctx, eventBill)
}

func (e *execution) endAnswer(ctx context.Context, answer completeAnswer) (Result, error) {
	if e.callerErr != nil {
		return Result{}, e.callerErr
	}
	if err := e.writer.End(answer.usage); err != nil {
		return Result{}, err
	}
	result := Result{Version: answer.target.Version, Server: answer.server, Usage: answer.usage, Bill: e.newBill(answer)}
	return result, e.lifecycle.apply(ctx, eventAnswer)
}

func (e *execution) newBill(answer completeAnswer) value.Bill {
	return value.Bill{
		Request:      e.job.Request.ID,
		Account:      e.job.Request.Account,
		Kind:         e.job.Request.Kind,
		Version:      answer.target.Version,
		InputTokens:  answer.usage.InputTokens,
		OutputTokens: answer.usage.OutputTokens,
		CostMicros:   answer.spentMicros + e.price(answer.target.Version, answer.usage),
		Runs:         e.attempts,
		At:           e.flow.Now(),
	}
}

// refuse converts any error into a refusal and records it. NotRun is true only if no server can
// have received the request, now or under an earlier claim.
func (e *execution) refuse(ctx context.Context, err error) error {
	refusal := e.toRefusal(err)
	refusal = refusal.WithNotRun(e.sentAttempts == 0 && !query.MeansEarlierRun(refusal.Reason))
	e.record(e.newDecision(value.StepRefuse).WithReason(refusal.Reason, refusal.Detail))
	if lifecycleErr := e.lifecycle.apply(context.WithoutCancel(ctx), eventRefuse); lifecycleErr != nil {
		return errors.Join(refusal, lifecycleErr)
	}
	return refusal
}

func (e *execution) toRefusal(err error) value.Refusal {
	var refusal value.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case isRequestFault(err):
		return value.Refusal{Reason: value.ReasonBadRequest, Detail: err.Error()}
	// A time-out within an attempt is a failure of the server; only the request's own deadline is
	// reported as such.
	case errors.Is(err, context.DeadlineExceeded) && !e.flow.Now().Before(e.job.Request.Deadline):
		return value.Refusal{Reason: value.ReasonDeadline, Detail: err.Error()}
	case errors.Is(err, context.Canceled):
		return value.Refusal{Reason: value.ReasonCanceled, Detail: err.Error()}
	}
	return value.Refusal{Reason: value.ReasonBackend, Detail: err.Error()}
}
