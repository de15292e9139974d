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

// pieceEnd stands between the kept pieces of a streamed answer, which have no line breaks.
var pieceEnd = []byte("\n")

// settleTime bounds the work that must be tried even for a caller that has gone.
const settleTime = 10 * time.Second

// executeOnce runs the request under a claim that is kept outside this instance.
func (r *run) executeOnce(ctx context.Context) (Result, error) {
	claim, stored, err := r.flow.Guard.Claim(ctx, r.job.Request)
	if err != nil {
		return Result{}, err
	}
	if stored != nil {
		return r.replay(*stored)
	}
	r.claim = claim
	settled := false
	// A panic of the sink must not leave the claim open.
	defer func() {
		if !settled {
			_ = r.settle(ctx)
		}
	}()
	// The run goes on when the caller leaves: its effect can't be taken back, and the kept answer
	// serves the caller's next call with the same key.
	lasting, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.job.Request.Deadline)
	defer cancel()
	p, err := r.produce(lasting)
	if err == nil {
		err = r.keep(lasting, p)
	}
	settled = true
	if err != nil {
		return Result{}, errors.Join(err, r.settle(ctx))
	}
	return r.tell(ctx, p)
}

// keep makes bill and answer last; the claim is settled by it when it succeeds.
func (r *run) keep(ctx context.Context, p produced) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTime)
	defer cancel()
	if err := r.keepBill(ctx, p); err != nil {
		return err
	}
	return r.claim.Finish(ctx, Stored{Head: p.head, Body: r.body})
}

// settle tells the guard how a failed run ended.
func (r *run) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTime)
	defer cancel()
	if r.sends > 0 {
		return r.claim.Doubt(ctx)
	}
	return r.claim.Release(ctx)
}

func (r *run) replay(s Stored) (Result, error) {
	if err := r.begin(s.Head, ""); err != nil {
		return Result{}, err
	}
	for _, data := range r.pieces(s.Body) {
		if err := r.sink.Write(engine.Piece{Data: data}); err != nil {
			return Result{}, err
		}
	}
	return Result{}, r.sink.End(engine.Usage{})
}

// pieces takes a kept body apart again: the pieces of a streamed answer are kept a line each.
func (r *run) pieces(body []byte) [][]byte {
	if !r.job.Call.Stream {
		return [][]byte{body}
	}
	return bytes.Split(body, pieceEnd)
}

// begin tells the caller who answers; under a claim the run goes on when the caller can't be told.
func (r *run) begin(h engine.Head, v value.VersionKey) error {
	if r.begun {
		return nil
	}
	r.begun = true
	return r.tolerate(r.sink.Begin(h, v))
}

func (r *run) pass(p engine.Piece) error {
	if r.claim != nil {
		r.keepPiece(p)
	}
	if r.gone != nil {
		return nil
	}
	return r.tolerate(r.sink.Write(p))
}

func (r *run) keepPiece(p engine.Piece) {
	if r.job.Call.Stream && len(r.body) > 0 {
		r.body = append(r.body, pieceEnd...)
	}
	r.body = append(r.body, p.Data...)
}

func (r *run) tolerate(err error) error {
	if r.claim == nil || err == nil {
		return err
	}
	r.gone = err
	return nil
}

// finish keeps the bill before the caller learns that the answer is whole.
func (r *run) finish(ctx context.Context, p produced) (Result, error) {
	if err := r.keepBill(ctx, p); err != nil {
		return Result{}, err
	}
	return r.tell(ctx, p)
}

func (r *run) keepBill(ctx context.Context, p produced) error {
	bill := r.bill(p)
	if err := r.flow.Biller.Keep(ctx, bill); err != nil {
		return err
	}
	r.record(r.decision(value.StepBill).WithChoice(p.target.Version, p.server, 1, value.ReasonAnswered).WithCost(bill.CostMicros))
	return r.life.move(ctx, eventBill)
}

func (r *run) tell(ctx context.Context, p produced) (Result, error) {
	if r.gone != nil {
		return Result{}, r.gone
	}
	if err := r.sink.End(p.usage); err != nil {
		return Result{}, err
	}
	result := Result{Version: p.target.Version, Server: p.server, Usage: p.usage, Bill: r.bill(p)}
	return result, r.life.move(ctx, eventAnswer)
}

func (r *run) bill(p produced) value.Bill {
	return value.Bill{
		Request:      r.job.Request.ID,
		Account:      r.job.Request.Account,
		Kind:         r.job.Request.Kind,
		Version:      p.target.Version,
		InputTokens:  p.usage.InputTokens,
		OutputTokens: p.usage.OutputTokens,
		CostMicros:   p.spentMicros + r.price(p.target.Version, p.usage),
		Runs:         r.attempts,
		At:           r.flow.Now(),
	}
}

// refused turns any error into a refusal whose NotRun is true only when nothing was dispatched.
func (r *run) refused(ctx context.Context, err error) error {
	refusal := r.asRefusal(err)
	refusal = refusal.WithNotRun(r.sends == 0 && !query.MeansEarlierRun(refusal.Reason))
	r.record(r.decision(value.StepRefuse).WithReason(refusal.Reason, refusal.Detail))
	if moveErr := r.life.move(context.WithoutCancel(ctx), eventRefuse); moveErr != nil {
		return errors.Join(refusal, moveErr)
	}
	return refusal
}

func (r *run) asRefusal(err error) value.Refusal {
	var refusal value.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case atFault(err):
		return value.Refusal{Reason: value.ReasonBadRequest, Detail: err.Error()}
	// A timeout inside a run is the server's failure, not the end of the caller's patience.
	case errors.Is(err, context.DeadlineExceeded) && !r.flow.Now().Before(r.job.Request.Deadline):
		return value.Refusal{Reason: value.ReasonDeadline, Detail: err.Error()}
	case errors.Is(err, context.Canceled):
		return value.Refusal{Reason: value.ReasonCanceled, Detail: err.Error()}
	}
	return value.Refusal{Reason: value.ReasonBackend, Detail: err.Error()}
}
