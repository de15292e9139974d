package flow

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// run is one request under way; it belongs to one goroutine.
type run struct {
	flow     *Flow
	job      Job
	sink     Sink
	life     life
	rnd      *rand.Rand
	admitted query.Admitted
	tried    []value.ServerID
	attempts int
	// sent is set once a backend server may have received the request.
	sent bool
	// begun is set once the caller has part of the answer.
	begun   bool
	claim   Claim
	body    []byte
	cascade cascade
}

func (r *run) serve(ctx context.Context) (Result, error) {
	if err := r.admit(ctx); err != nil {
		return Result{}, err
	}
	if r.admitted.Kind.Idempotent {
		return r.execute(ctx)
	}
	return r.executeOnce(ctx)
}

func (r *run) admit(ctx context.Context) error {
	a, err := query.Admit(r.flow.Snapshot(), r.job.Request, r.flow.Now())
	if err != nil {
		return err
	}
	r.admitted = a
	r.record(r.decision(value.StepAdmit).WithReason(value.ReasonAdmitted, ""))
	return r.life.move(ctx, eventAdmit)
}

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
	result, err := r.execute(ctx)
	if err == nil {
		return result, nil
	}
	return Result{}, errors.Join(err, r.settle(context.WithoutCancel(ctx)))
}

// settle tells the guard how a failed run ended.
func (r *run) settle(ctx context.Context) error {
	if r.sent {
		return r.claim.Doubt(ctx)
	}
	return r.claim.Release(ctx)
}

func (r *run) replay(s Stored) (Result, error) {
	if err := r.sink.Begin(s.Head, ""); err != nil {
		return Result{}, err
	}
	if err := r.sink.Write(engine.Piece{Data: s.Body}); err != nil {
		return Result{}, err
	}
	return Result{}, r.sink.End(engine.Usage{})
}

func (r *run) execute(ctx context.Context) (Result, error) {
	target, err := r.plan(ctx)
	if err != nil {
		return Result{}, err
	}
	for {
		if target, err = r.current(target); err != nil {
			return Result{}, err
		}
		result, err := r.attempt(ctx, target)
		if err == nil {
			return result, nil
		}
		if next, ok := r.escalate(ctx, target, err); ok {
			target = next
			continue
		}
		if !r.mayRetry(err) {
			return Result{}, err
		}
		if err := r.life.move(ctx, eventRetry); err != nil {
			return Result{}, err
		}
	}
}

func (r *run) plan(ctx context.Context) (query.Target, error) {
	if r.admitted.Kind.Service != "" {
		return query.Target{Service: r.admitted.Kind.Service}, r.life.move(ctx, eventPlan)
	}
	plan, err := query.Choose(r.flow.Snapshot(), r.admitted, r.job.Request, r.flow.Now())
	if err != nil {
		return query.Target{}, err
	}
	first := r.open(plan)
	r.record(r.decision(value.StepPlan).WithChoice(first, "", plan.Candidates, plan.Reason).WithCost(plan.CostMicros))
	return query.Target{Version: first}, r.life.move(ctx, eventPlan)
}

func (r *run) attempt(ctx context.Context, t query.Target) (Result, error) {
	b, err := r.route(ctx, t)
	if err != nil {
		return Result{}, err
	}
	began := r.flow.Now()
	answer, err := r.dispatch(ctx, t, b)
	if err != nil {
		r.observe(ctx, t.Version, began, engine.Usage{}, err)
		return Result{}, err
	}
	defer answer.Cancel()
	err = r.deliver(ctx, t, answer)
	r.observe(ctx, t.Version, began, answer.Usage(), err)
	if err != nil {
		return Result{}, err
	}
	if err := r.accept(ctx, t, answer); err != nil {
		return Result{}, err
	}
	return r.finish(ctx, t, b, answer)
}

func (r *run) route(ctx context.Context, t query.Target) (value.BackendServer, error) {
	t.Tried = r.tried
	choice, err := query.Route(r.flow.Snapshot(), t, r.flow.board.Load, r.rnd, r.flow.Now())
	if err != nil {
		return value.BackendServer{}, err
	}
	r.record(r.decision(value.StepRoute).WithChoice(t.Version, choice.Server.ID, choice.Candidates, choice.Reason))
	return choice.Server, r.life.move(ctx, eventRoute)
}

func (r *run) dispatch(ctx context.Context, t query.Target, b value.BackendServer) (engine.Answer, error) {
	if err := r.life.move(ctx, eventDispatch); err != nil {
		return nil, err
	}
	call := r.job.Call
	call.Request = r.job.Request.ID
	call.Version = t.Version
	call.Priority = r.admitted.Kind.Priority
	r.attempts++
	r.tried = append(r.tried, b.ID)
	r.flow.board.Update(b.ID, func(l value.Load) value.Load { return l.WithInFlight(1) })
	answer, err := r.flow.Runner.Start(ctx, b, call)
	if !errors.Is(err, engine.ErrNotSent) {
		r.sent = true
	}
	if err != nil {
		r.release(b)
		return nil, err
	}
	return releasing{Answer: answer, release: func() { r.release(b) }}.once(), r.life.move(ctx, eventHead)
}

func (r *run) release(b value.BackendServer) {
	r.flow.board.Update(b.ID, func(l value.Load) value.Load { return l.WithInFlight(-1) })
}

func (r *run) deliver(ctx context.Context, t query.Target, a engine.Answer) error {
	for {
		p, err := a.Next(ctx)
		if errors.Is(err, io.EOF) {
			return r.life.move(ctx, eventComplete)
		}
		if err != nil {
			return err
		}
		if err := r.pass(t, a.Head(), p); err != nil {
			return err
		}
	}
}

func (r *run) pass(t query.Target, h engine.Head, p engine.Piece) error {
	if !r.begun {
		r.begun = true
		if err := r.sink.Begin(h, t.Version); err != nil {
			return err
		}
	}
	if r.claim != nil {
		r.body = append(r.body, p.Data...)
	}
	return r.sink.Write(p)
}

// finish keeps the bill before the caller learns that the answer is whole.
func (r *run) finish(ctx context.Context, t query.Target, b value.BackendServer, a engine.Answer) (Result, error) {
	bill := r.bill(t, a.Usage())
	if r.claim != nil {
		if err := r.claim.Finish(ctx, Stored{Head: a.Head(), Body: r.body}); err != nil {
			return Result{}, err
		}
	}
	if err := r.flow.Biller.Keep(ctx, bill); err != nil {
		return Result{}, err
	}
	r.record(r.decision(value.StepBill).WithChoice(t.Version, b.ID, 1, value.ReasonAnswered).WithCost(bill.CostMicros))
	if err := r.life.move(ctx, eventBill); err != nil {
		return Result{}, err
	}
	if err := r.sink.End(a.Usage()); err != nil {
		return Result{}, err
	}
	return Result{Version: t.Version, Server: b.ID, Usage: a.Usage(), Bill: bill}, r.life.move(ctx, eventAnswer)
}

func (r *run) bill(t query.Target, u engine.Usage) value.Bill {
	return value.Bill{
		Request:      r.job.Request.ID,
		Account:      r.job.Request.Account,
		Kind:         r.job.Request.Kind,
		Version:      t.Version,
		InputTokens:  u.InputTokens,
		OutputTokens: u.OutputTokens,
		CostMicros:   r.cascade.spentMicros + r.price(t.Version, u),
		Runs:         r.attempts,
		At:           r.flow.Now(),
	}
}
