package flow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// execution is the state of one request from its admission to its answer or refusal. It is used by
// one goroutine.
type execution struct {
	flow         *Flow
	job          Job
	writer       ResponseWriter
	lifecycle    lifecycle
	rnd          *rand.Rand
	admitted     query.Admitted
	estimate     query.DurationEstimate
	triedServers []value.ServerID
	attempts     int
	// sentAttempts counts the attempts that a backend server may have received.
	sentAttempts int
	// answerStarted is set once the head of an answer has been passed to the writer.
	answerStarted bool
	claim         Claim
	// stored collects the answer under a claim; it is nil without one.
	stored  *answerRecord
	cascade cascade
	// callerErr is the write error of the caller's connection, while the request continues under
	// its claim.
	callerErr error
}

// completeAnswer describes an answer that is complete and not yet billed.
type completeAnswer struct {
	target query.Target
	server value.ServerID
	head   engine.Head
	usage  engine.Usage
	// spentMicros is the cost of rejected answers and of verdicts, in micro-units of currency.
	spentMicros int64
}

func newExecution(f *Flow, job Job, writer ResponseWriter) *execution {
	return &execution{
		flow:      f,
		job:       job,
		writer:    writer,
		lifecycle: newLifecycle(),
		rnd:       rand.New(rand.NewPCG(f.Seed, xxhash.Sum64String(string(job.Request.ID)))),
	}
}

func (e *execution) serve(ctx context.Context) (Result, error) {
	if err := e.admit(); err != nil {
		return Result{}, err
	}
	defer e.flow.stats.removeInFlight(e.admitted.Account)
	if err := e.lifecycle.apply(ctx, eventAdmit); err != nil {
		return Result{}, err
	}
	if !e.admitted.Kind.Idempotent {
		return e.executeOnce(ctx)
	}
	if query.CanShare(e.admitted.Kind, e.job.Request) {
		return e.executeShared(ctx)
	}
	return e.execute(ctx)
}

func (e *execution) admit() error {
	s := e.flow.Snapshot()
	a, err := query.Admit(s, e.job.Request, e.flow.Now())
	if err != nil {
		return err
	}
	if err := e.flow.stats.addInFlight(a.Account); err != nil {
		return err
	}
	e.admitted = a
	e.estimate = e.flow.stats.estimate(e.job.Request)
	e.record(e.newDecision(value.StepAdmit).WithReason(value.ReasonAdmitted, ""))
	return nil
}

// execute produces the answer, stores the bill, and only then ends the answer to the caller.
func (e *execution) execute(ctx context.Context) (Result, error) {
	answer, err := e.produce(ctx)
	if err != nil {
		return Result{}, err
	}
	return e.finish(ctx, answer)
}

// produce writes a complete answer, except for its end, and tries further servers and versions as
// retries and the cascade allow.
func (e *execution) produce(ctx context.Context) (completeAnswer, error) {
	defer e.dropHeldAnswer()
	target, err := e.plan(ctx)
	if err != nil {
		return completeAnswer{}, err
	}
	s := e.flow.Snapshot()
	e.flow.stats.countFirstAttempt(query.RetryBudget(s), query.HedgeBudget(s))
	var lastFailure error
	for {
		if target, err = e.currentTarget(target); err != nil {
			return completeAnswer{}, err
		}
		answer, err := e.tryTarget(ctx, target)
		if err == nil {
			return answer, nil
		}
		if isWithdrawn(err) {
			// currentTarget replaces the withdrawn version.
			continue
		}
		if next, ok := e.escalate(ctx, target, err); ok {
			target = next
			continue
		}
		if !e.allowRetry(ctx, err) {
			return completeAnswer{}, moreInformative(lastFailure, err)
		}
		lastFailure = err
		if err := e.lifecycle.apply(ctx, eventRetry); err != nil {
			return completeAnswer{}, err
		}
	}
}

// moreInformative returns the earlier attempt's failure if the later error only says that there is
// no further server, and the later error otherwise.
func moreInformative(earlier, later error) error {
	var refusal value.Refusal
	if earlier != nil && errors.As(later, &refusal) && refusal.Reason == value.ReasonNoServer {
		return earlier
	}
	return later
}

func (e *execution) plan(ctx context.Context) (query.Target, error) {
	target := query.Target{Long: e.estimate.Long, Prefix: e.job.Request.Prefix}
	if e.admitted.Kind.Service != "" {
		target.Service = e.admitted.Kind.Service
		return target, e.lifecycle.apply(ctx, eventPlan)
	}
	plan, err := query.ChoosePlan(e.flow.Snapshot(), e.admitted, e.job.Request, e.flow.Now())
	if err != nil {
		return query.Target{}, err
	}
	target.Version = e.firstVersion(plan)
	e.record(e.newDecision(value.StepPlan).WithChoice(target.Version, "", plan.Candidates, plan.Reason).WithCost(plan.CostMicros))
	return target, e.lifecycle.apply(ctx, eventPlan)
}

// tryTarget gets one complete answer for the target, by one attempt or a hedged pair. When it
// returns, it has ended or cancelled all its attempts.
func (e *execution) tryTarget(ctx context.Context, target query.Target) (completeAnswer, error) {
	target.Tried = e.triedServers
	slot, err := e.route(ctx, target)
	if err != nil {
		return completeAnswer{}, err
	}
	start := e.flow.Now()
	winner, err := e.runRace(ctx, target, slot)
	if err != nil {
		e.countOutcome(ctx, target.Version, start, engine.Usage{}, err)
		return completeAnswer{}, err
	}
	defer winner.end()
	err = e.relay(ctx, target, winner)
	e.countOutcome(ctx, target.Version, start, winner.answer.Usage(), err)
	if err != nil {
		return completeAnswer{}, err
	}
	e.observeCompletion(winner)
	// The verdict of the judge needs no slot at the server.
	winner.end()
	if err := e.checkAnswer(ctx, target, winner.answer); err != nil {
		return completeAnswer{}, err
	}
	return completeAnswer{
		target: target, server: winner.slot.choice.Server.ID, head: winner.answer.Head(), usage: winner.answer.Usage(),
		spentMicros: e.cascade.spentMicros,
	}, nil
}

// route acquires a slot, which may take a while, and then checks that the version and the deadline
// still allow an attempt.
func (e *execution) route(ctx context.Context, target query.Target) (*serverSlot, error) {
	slot, err := e.flow.slots.acquire(ctx, pendingAcquisition{
		request: e.job.Request, admitted: e.admitted, target: target, estimate: e.estimate, rnd: e.rnd,
	})
	if err != nil {
		return nil, err
	}
	if query.IsWithdrawn(e.flow.Snapshot(), target) {
		slot.release()
		return nil, errWithdrawn
	}
	if err := e.checkDeadline(); err != nil {
		slot.release()
		return nil, err
	}
	e.record(e.newDecision(value.StepRoute).WithChoice(target.Version, slot.choice.Server.ID, slot.choice.Candidates, slot.choice.Reason))
	if err := e.lifecycle.apply(ctx, eventRoute); err != nil {
		slot.release()
		return nil, err
	}
	return slot, nil
}

// checkDeadline returns a refusal if an attempt that starts now would end after the deadline.
// Drafts are exempt once they are admitted.
func (e *execution) checkDeadline() error {
	if e.admitted.Kind.Priority == value.PriorityDraft {
		return nil
	}
	return query.CheckDeadline(e.job.Request, e.estimate, e.flow.Now())
}

func (e *execution) observeCompletion(winner *attempt) {
	now := e.flow.Now()
	duration := now.Sub(winner.slot.started)
	e.flow.stats.observeCompletion(e.job.Request, duration, now)
	e.flow.stats.throughput(winner.slot.target).Update(func(t query.Throughput) query.Throughput { return t.WithAttempt(duration, now) })
}

// normalizeFirstToken converts the time to the first piece into that of a request of typical
// length. Without streaming, the first piece is the complete answer, so that its time grows with
// the length.
func (e *execution) normalizeFirstToken(elapsed time.Duration) time.Duration {
	if e.job.Call.Stream {
		return elapsed
	}
	return time.Duration(float64(elapsed) / max(e.estimate.Cost, 1))
}

// allowRetry reports whether to retry after the failure. A retry that counts against the retry budget is
// charged to it.
func (e *execution) allowRetry(ctx context.Context, err error) bool {
	var refusal value.Refusal
	if errors.As(err, &refusal) || ctx.Err() != nil || isRequestFault(err) {
		return false
	}
	failed := query.FailedAttempt{Sent: e.sentAttempts > 0, AnswerStarted: e.answerStarted, Attempts: e.attempts}
	if !query.CanRetry(e.admitted.Kind, e.job.Request, failed, e.flow.Now()) {
		return false
	}
	if query.UsesRetryBudget(failed) && !spendBudget(&e.flow.stats.retries, query.RetryBudget(e.flow.Snapshot())) {
		e.record(e.newDecision(value.StepRetry).WithReason(value.ReasonBudgetSpent, err.Error()))
		return false
	}
	e.record(e.newDecision(value.StepRetry).WithReason(value.ReasonServerFailed, err.Error()))
	return true
}

func (e *execution) newDecision(s value.Step) value.Decision {
	return value.NewDecision(e.job.Request, s, e.flow.Now())
}

func (e *execution) record(d value.Decision) {
	e.flow.Record(d)
}
