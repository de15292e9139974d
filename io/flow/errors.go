package flow

import (
	"context"
	"errors"
	"sync"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// releasing is an answer whose cancel also gives back its place at the server.
type releasing struct {
	engine.Answer
	release func()
}

func (a releasing) once() releasing {
	a.release = sync.OnceFunc(a.release)
	return a
}

// Cancel stops the run and gives its place back.
func (a releasing) Cancel() {
	a.Answer.Cancel()
	a.release()
}

func (r *run) mayRetry(err error) bool {
	var refusal value.Refusal
	if errors.As(err, &refusal) || errors.Is(err, context.Canceled) {
		return false
	}
	failed := query.Failed{Sent: !errors.Is(err, engine.ErrNotSent), Begun: r.begun, Attempts: r.attempts}
	ok := query.Retry(r.admitted.Kind, r.job.Request, failed, r.flow.Now())
	if ok {
		r.record(r.decision(value.StepRetry).WithReason(value.ReasonServerFailed, err.Error()))
	}
	return ok
}

// refused turns any error into a refusal whose NotRun is true only when nothing was dispatched.
func (r *run) refused(ctx context.Context, err error) error {
	refusal := asRefusal(err)
	refusal = refusal.WithNotRun(!r.sent && !ranBefore(refusal.Reason))
	r.record(r.decision(value.StepRefuse).WithReason(refusal.Reason, refusal.Detail))
	if moveErr := r.life.move(context.WithoutCancel(ctx), eventRefuse); moveErr != nil {
		return errors.Join(refusal, moveErr)
	}
	return refusal
}

// ranBefore reports whether the reason speaks of an earlier run under the same key.
func ranBefore(why value.Reason) bool {
	return why == value.ReasonStillRunning || why == value.ReasonOutcomeUnknown
}

func asRefusal(err error) value.Refusal {
	var refusal value.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return value.Refusal{Reason: value.ReasonDeadline, Detail: err.Error()}
	}
	if errors.Is(err, context.Canceled) {
		return value.Refusal{Reason: value.ReasonCanceled, Detail: err.Error()}
	}
	return value.Refusal{Reason: value.ReasonBackend, Detail: err.Error()}
}

func (r *run) decision(s value.Step) value.Decision {
	return value.NewDecision(r.job.Request, s, r.flow.Now())
}

func (r *run) record(d value.Decision) {
	r.flow.Record(d)
}
