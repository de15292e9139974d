package flow

import (
	"context"
	"errors"
	"fmt"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// Judge assesses the answer of a cascade's first step.
type Judge interface {
	// Judge reports whether the answer is good enough for the caller; an error counts as a rejection.
	Judge(ctx context.Context, r value.Request, a Held) (bool, error)
}

// Held is a whole answer that no caller has seen.
type Held struct {
	Head    engine.Head
	Version value.VersionKey
	Pieces  []engine.Piece
}

// The errors that end a step of a cascade although its answer is whole.
var (
	errRejected    = errors.New("judge rejected the answer")
	errJudgeFailed = errors.New("judge failed")
)

// judgePatience is how many times its expected latency a judge may take.
const judgePatience = 4

// cascade is the part of a run that holds answers back.
type cascade struct {
	// rest is the versions still to be tried after the present one.
	rest []value.VersionKey
	// caller is the sink that gets the accepted answer.
	caller Sink
	held   *held
	// spentMicros is the cost of rejected answers and of verdicts, in micro-units of currency.
	spentMicros int64
}

// held is a sink that keeps the answer back.
type held struct {
	Held
}

// Begin notes who answers.
func (h *held) Begin(head engine.Head, v value.VersionKey) error {
	h.Head = head
	h.Version = v
	return nil
}

// Write keeps the piece.
func (h *held) Write(p engine.Piece) error {
	h.Pieces = append(h.Pieces, p)
	return nil
}

// End does nothing: the run ends with the caller's sink.
func (*held) End(engine.Usage) error {
	return nil
}

// open returns the first version to try; where the plan is a cascade, its answer is held back.
func (r *run) open(p query.Plan) value.VersionKey {
	if !p.Cascade() || r.flow.Judge == nil {
		return p.Last()
	}
	r.cascade.rest = p.Versions[1:]
	r.cascade.caller = r.sink
	r.cascade.held = new(held)
	r.sink = r.cascade.held
	return p.Versions[0]
}

// accept asks the judge about an answer that is held back, and hands it to the caller if it passes.
func (r *run) accept(ctx context.Context, t query.Target, a engine.Answer) error {
	h := r.cascade.held
	if h == nil {
		return nil
	}
	ok, err := r.judge(ctx, h.Held)
	r.cascade.spentMicros += r.admitted.Kind.Judge.CostMicros
	if err == nil && ok {
		r.record(r.decision(value.StepEscalate).WithChoice(t.Version, "", 1, value.ReasonJudgeAccepted))
		return r.handOver()
	}
	r.cascade.spentMicros += r.price(t.Version, a.Usage())
	if err != nil {
		return fmt.Errorf("%w: %w", errJudgeFailed, err)
	}
	return errRejected
}

// judge leaves time for the next version where the judge is slow.
func (r *run) judge(ctx context.Context, h Held) (bool, error) {
	if latency := r.admitted.Kind.Judge.Latency; latency > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, judgePatience*latency)
		defer cancel()
	}
	return r.flow.Judge.Judge(ctx, r.job.Request, h)
}

// handOver gives the held answer to the caller.
func (r *run) handOver() error {
	h := r.cascade.held
	r.cascade.held = nil
	r.sink = r.cascade.caller
	if err := r.sink.Begin(h.Head, h.Version); err != nil {
		return err
	}
	for _, p := range h.Pieces {
		if err := r.sink.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// escalate goes on to the cascade's next version after any failure of the held step; false leaves the failure as it is.
func (r *run) escalate(ctx context.Context, t query.Target, cause error) (query.Target, bool) {
	if r.cascade.held == nil || ctx.Err() != nil {
		return t, false
	}
	if err := r.life.move(ctx, eventEscalate); err != nil {
		return t, false
	}
	why := value.ReasonServerFailed
	switch {
	case errors.Is(cause, errRejected):
		why = value.ReasonJudgeRejected
	case errors.Is(cause, errJudgeFailed):
		why = value.ReasonJudgeFailed
	}
	t.Version = r.cascade.rest[0]
	r.cascade.rest = r.cascade.rest[1:]
	r.record(r.decision(value.StepEscalate).WithChoice(t.Version, "", 1, why).WithCost(r.cascade.spentMicros))
	// The caller has seen nothing yet, so that the next answer may be streamed and retried as any other.
	r.cascade.held = nil
	r.sink = r.cascade.caller
	r.begun = false
	r.tried = nil
	return t, true
}

func (r *run) price(k value.VersionKey, u engine.Usage) int64 {
	v, _ := r.flow.Snapshot().Version(k)
	return v.Cost(u.InputTokens, u.OutputTokens)
}
