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

// run is one request under way; it belongs to one goroutine.
type run struct {
	flow     *Flow
	job      Job
	sink     Sink
	life     life
	rnd      *rand.Rand
	admitted query.Admitted
	length   query.DurationEstimate
	tried    []value.ServerID
	attempts int
	// sends counts the runs that a backend server may have received.
	sends int
	// begun is set once the caller has part of the answer.
	begun   bool
	claim   Claim
	body    []byte
	cascade cascade
	// gone is the error by which the caller's connection failed under a run that had to go on.
	gone error
}

// produced is a whole answer, before it is billed.
type produced struct {
	target query.Target
	server value.ServerID
	head   engine.Head
	usage  engine.Usage
	// spentMicros is what rejected answers and verdicts cost, in micro-units of currency.
	spentMicros int64
}

func newRun(f *Flow, j Job, s Sink) *run {
	return &run{
		flow: f,
		job:  j,
		sink: s,
		life: newLife(),
		rnd:  rand.New(rand.NewPCG(f.Seed, xxhash.Sum64String(string(j.Request.ID)))),
	}
}

func (r *run) serve(ctx context.Context) (Result, error) {
	if err := r.admit(); err != nil {
		return Result{}, err
	}
	defer r.flow.past.leave(r.admitted.Account)
	if err := r.life.move(ctx, eventAdmit); err != nil {
		return Result{}, err
	}
	if !r.admitted.Kind.Idempotent {
		return r.executeOnce(ctx)
	}
	if query.CanShare(r.admitted.Kind, r.job.Request) {
		return r.executeShared(ctx)
	}
	return r.execute(ctx)
}

func (r *run) admit() error {
	s := r.flow.Snapshot()
	a, err := query.Admit(s, r.job.Request, r.flow.Now())
	if err != nil {
		return err
	}
	if err := r.flow.past.enter(a.Account); err != nil {
		return err
	}
	r.admitted = a
	r.length = r.flow.past.expect(r.job.Request)
	r.record(r.decision(value.StepAdmit).WithReason(value.ReasonAdmitted, ""))
	return nil
}

// execute produces the answer, keeps the bill and only then tells the caller that the answer is whole.
func (r *run) execute(ctx context.Context) (Result, error) {
	p, err := r.produce(ctx)
	if err != nil {
		return Result{}, err
	}
	return r.finish(ctx, p)
}

// produce passes a whole answer to the sink, from as many runs as it takes.
func (r *run) produce(ctx context.Context) (produced, error) {
	target, err := r.plan(ctx)
	if err != nil {
		return produced{}, err
	}
	s := r.flow.Snapshot()
	r.flow.past.countFirst(query.RetryBudget(s), query.HedgeBudget(s))
	var failed error
	for {
		if target, err = r.current(target); err != nil {
			return produced{}, err
		}
		p, err := r.attempt(ctx, target)
		if err == nil {
			return p, nil
		}
		if retired(err) {
			continue
		}
		if next, ok := r.escalate(ctx, target, err); ok {
			target = next
			continue
		}
		if !r.mayRetry(ctx, err) {
			return produced{}, telling(failed, err)
		}
		failed = err
		if err := r.life.move(ctx, eventRetry); err != nil {
			return produced{}, err
		}
	}
}

// telling prefers the failure of a run to the lack of a further server, which tells the caller nothing.
func telling(failed, err error) error {
	var refusal value.Refusal
	if failed != nil && errors.As(err, &refusal) && refusal.Reason == value.ReasonNoServer {
		return failed
	}
	return err
}

func (r *run) plan(ctx context.Context) (query.Target, error) {
	target := query.Target{Long: r.length.Long, Prefix: r.job.Request.Prefix}
	if r.admitted.Kind.Service != "" {
		target.Service = r.admitted.Kind.Service
		return target, r.life.move(ctx, eventPlan)
	}
	plan, err := query.ChoosePlan(r.flow.Snapshot(), r.admitted, r.job.Request, r.flow.Now())
	if err != nil {
		return query.Target{}, err
	}
	target.Version = r.open(plan)
	r.record(r.decision(value.StepPlan).WithChoice(target.Version, "", plan.Candidates, plan.Reason).WithCost(plan.CostMicros))
	return target, r.life.move(ctx, eventPlan)
}

// attempt gets one answer; it ends all runs that it started.
func (r *run) attempt(ctx context.Context, t query.Target) (produced, error) {
	t.Tried = r.tried
	p, err := r.route(ctx, t)
	if err != nil {
		return produced{}, err
	}
	began := r.flow.Now()
	l, err := r.race(ctx, t, p)
	if err != nil {
		r.observe(ctx, t.Version, began, engine.Usage{}, err)
		return produced{}, err
	}
	defer l.end()
	err = r.deliver(ctx, t, l)
	r.observe(ctx, t.Version, began, l.answer.Usage(), err)
	if err != nil {
		return produced{}, err
	}
	r.sawWhole(l)
	// What follows needs no place at the server.
	l.end()
	if err := r.accept(ctx, t, l.answer); err != nil {
		return produced{}, err
	}
	return produced{
		target: t, server: l.place.choice.Server.ID, head: l.answer.Head(), usage: l.answer.Usage(),
		spentMicros: r.cascade.spentMicros,
	}, nil
}

func (r *run) route(ctx context.Context, t query.Target) (*place, error) {
	p, err := r.flow.gate.acquire(ctx, quest{
		request: r.job.Request, admitted: r.admitted, target: t, length: r.length, rnd: r.rnd,
	})
	if err != nil {
		return nil, err
	}
	if query.IsWithdrawn(r.flow.Snapshot(), t) {
		p.free()
		return nil, errRetired
	}
	if err := r.useful(); err != nil {
		p.free()
		return nil, err
	}
	r.record(r.decision(value.StepRoute).WithChoice(t.Version, p.choice.Server.ID, p.choice.Candidates, p.choice.Reason))
	if err := r.life.move(ctx, eventRoute); err != nil {
		p.free()
		return nil, err
	}
	return p, nil
}

// useful refuses to start what would end too late; an accepted draft is run all the same.
func (r *run) useful() error {
	if r.admitted.Kind.Priority == value.PriorityDraft {
		return nil
	}
	return query.CheckDeadline(r.job.Request, r.length, r.flow.Now())
}

func (r *run) sawWhole(l *leg) {
	now := r.flow.Now()
	took := now.Sub(l.place.started)
	r.flow.past.sawRun(r.job.Request, took, now)
	r.flow.past.pace(l.place.target).Update(func(p query.Throughput) query.Throughput { return p.WithAttempt(took, now) })
}

// perUnit turns the time to a first piece into that of a typical run: the first piece of an answer
// that isn't streamed is the whole of it, and comes the later the longer the answer is.
func (r *run) perUnit(after time.Duration) time.Duration {
	if r.job.Call.Stream {
		return after
	}
	return time.Duration(float64(after) / max(r.length.Cost, 1))
}

func (r *run) mayRetry(ctx context.Context, err error) bool {
	var refusal value.Refusal
	if errors.As(err, &refusal) || ctx.Err() != nil || atFault(err) {
		return false
	}
	failed := query.FailedAttempt{Sent: r.sends > 0, AnswerStarted: r.begun, Attempts: r.attempts}
	if !query.CanRetry(r.admitted.Kind, r.job.Request, failed, r.flow.Now()) {
		return false
	}
	if query.UsesRetryBudget(failed) && !spend(&r.flow.past.retries, query.RetryBudget(r.flow.Snapshot())) {
		r.record(r.decision(value.StepRetry).WithReason(value.ReasonBudgetSpent, err.Error()))
		return false
	}
	r.record(r.decision(value.StepRetry).WithReason(value.ReasonServerFailed, err.Error()))
	return true
}

func (r *run) decision(s value.Step) value.Decision {
	return value.NewDecision(r.job.Request, s, r.flow.Now())
}

func (r *run) record(d value.Decision) {
	r.flow.Record(d)
}
