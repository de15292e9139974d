package flow

import (
	"context"
	"errors"
	"fmt"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// Judge assesses the answer of a cascade's first version.
type Judge interface {
	// Judge reports whether the answer is good enough for the caller; an error counts as a
	// rejection.
	Judge(ctx context.Context, r value.Request, a HeldAnswer) (bool, error)
}

// HeldAnswer is a complete answer that is held back from the caller until the judge has assessed
// it.
type HeldAnswer struct {
	Head    engine.Head
	Version value.VersionKey
	Pieces  []engine.Piece
}

// The errors that end a step of a cascade although its answer is complete.
var (
	errRejected    = errors.New("judge rejected the answer")
	errJudgeFailed = errors.New("judge failed")
)

// judgeTimeoutFactor is the judge's timeout as a multiple of its expected latency.
const judgeTimeoutFactor = 4

// cascade is the state of an execution that tries a cheaper version first and holds its answer back
// until the judge has accepted it.
type cascade struct {
	// remaining holds the versions to try after the current one.
	remaining []value.VersionKey
	// callerWriter is the writer to the caller, which gets the accepted answer.
	callerWriter ResponseWriter
	// buffer is nil while no answer is held back.
	buffer *answerBuffer
	// spentMicros is the cost of rejected answers and of verdicts, in micro-units of currency.
	spentMicros int64
}

// answerBuffer is a response writer that holds the answer in memory.
type answerBuffer struct {
	HeldAnswer
	account *policy.BufferAccount
}

// WriteHead stores the head and the version.
func (b *answerBuffer) WriteHead(head engine.Head, v value.VersionKey) error {
	b.Head = head
	b.Version = v
	return nil
}

// Write stores the piece; the error is errTooLong.
func (b *answerBuffer) Write(p engine.Piece) error {
	if err := keepPiece(b.account, p); err != nil {
		return err
	}
	b.Pieces = append(b.Pieces, p)
	return nil
}

// End does nothing: the answer is ended at the writer to the caller.
func (*answerBuffer) End(engine.Usage) error {
	return nil
}

// firstVersion returns the first version to try. If the plan is a cascade, the version's answer
// will be held back.
func (e *execution) firstVersion(plan query.Plan) value.VersionKey {
	if !plan.IsCascade() || e.flow.Judge == nil {
		return plan.Last()
	}
	e.cascade.remaining = plan.Versions[1:]
	e.cascade.callerWriter = e.writer
	e.cascade.buffer = &answerBuffer{account: e.flow.held.Open()}
	e.writer = e.cascade.buffer
	return plan.Versions[0]
}

// checkAnswer lets the judge assess an answer that is held back, and writes it to the caller if the
// judge accepts it. An answer that is not held back needs no check.
func (e *execution) checkAnswer(ctx context.Context, target query.Target, answer engine.Answer) error {
	buffer := e.cascade.buffer
	if buffer == nil {
		return nil
	}
	ok, err := e.askJudge(ctx, buffer.HeldAnswer)
	e.cascade.spentMicros += e.admitted.Kind.Judge.CostMicros
	if err == nil && ok {
		e.record(e.newDecision(value.StepEscalate).WithChoice(target.Version, "", 1, value.ReasonJudgeAccepted))
		return e.releaseHeldAnswer()
	}
	e.cascade.spentMicros += e.price(target.Version, answer.Usage())
	if err != nil {
		return fmt.Errorf("%w: %w", errJudgeFailed, err)
	}
	return errRejected
}

// askJudge returns the judge's verdict. It limits the judge's time, so that enough is left for the
// next version.
func (e *execution) askJudge(ctx context.Context, answer HeldAnswer) (bool, error) {
	if latency := e.admitted.Kind.Judge.Latency; latency > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, judgeTimeoutFactor*latency)
		defer cancel()
	}
	return e.flow.Judge.Judge(ctx, e.job.Request, answer)
}

// releaseHeldAnswer writes the held answer to the caller.
func (e *execution) releaseHeldAnswer() error {
	buffer := e.cascade.buffer
	defer e.dropHeldAnswer()
	e.writer = e.cascade.callerWriter
	if err := e.writer.WriteHead(buffer.Head, buffer.Version); err != nil {
		return err
	}
	for _, p := range buffer.Pieces {
		if err := e.writer.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// dropHeldAnswer frees the answer that is held back, if there is one.
func (e *execution) dropHeldAnswer() {
	if e.cascade.buffer != nil {
		e.cascade.buffer.account.Close()
		e.cascade.buffer = nil
	}
}

// escalate returns the cascade's next version as the target after any failure while the answer is
// held back. It returns false if no answer is held back or the request has ended; the failure is
// then treated like that of any other request.
func (e *execution) escalate(ctx context.Context, target query.Target, cause error) (query.Target, bool) {
	if e.cascade.buffer == nil || ctx.Err() != nil {
		return target, false
	}
	if err := e.lifecycle.apply(ctx, eventEscalate); err != nil {
		return target, false
	}
	reason := value.ReasonServerFailed
	switch {
	case errors.Is(cause, errRejected):
		reason = value.ReasonJudgeRejected
	case errors.Is(cause, errJudgeFailed):
		reason = value.ReasonJudgeFailed
	}
	target.Version = e.cascade.remaining[0]
	e.cascade.remaining = e.cascade.remaining[1:]
	e.record(e.newDecision(value.StepEscalate).WithChoice(target.Version, "", 1, reason).WithCost(e.cascade.spentMicros))
	// Nothing has been written to the caller yet, so the next answer is streamed and retried like
	// any other.
	e.dropHeldAnswer()
	e.writer = e.cascade.callerWriter
	e.answerStarted = false
	e.triedServers = nil
	return target, true
}

func (e *execution) price(k value.VersionKey, u engine.Usage) int64 {
	v, _ := e.flow.Snapshot().Version(k)
	return v.Cost(u.InputTokens, u.OutputTokens)
}
