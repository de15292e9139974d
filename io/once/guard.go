package once

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// retryAfter is the delay that a refused caller is asked to wait before a retry.
const retryAfter = 2 * time.Second

// Claim returns the right to run the request, or the stored answer of an earlier run; the error is
// a value.Refusal.
func (g *Guard) Claim(ctx context.Context, r value.Request) (flow.Claim, *flow.StoredAnswer, error) {
	op := ledger.Op{
		Verb:        ledger.VerbClaim,
		ID:          ledger.NewCallID(r.Account, r.Key),
		Kind:        r.Kind,
		RequestHash: r.RequestHash,
		Token:       g.config.NewToken(),
		Holder:      g.config.Self,
		Until:       r.Deadline,
	}
	v, err := g.submit(ctx, op)
	if err != nil {
		g.releaseUncertain(op, err)
		return nil, nil, unavailable(err.Error())
	}
	switch v.Outcome {
	case ledger.OutcomeGranted:
		return &claim{guard: g, op: op}, nil, nil
	case ledger.OutcomeAnswered:
		return replayAnswer(v.Record.Answer)
	}
	return nil, nil, refusalOf(v)
}

// replayAnswer returns the stored answer, or a refusal if the call has run and its answer was not
// stored.
func replayAnswer(a ledger.Answer) (flow.Claim, *flow.StoredAnswer, error) {
	if a.IsComplete() {
		head := engine.Head{Status: a.Status, ContentType: a.ContentType}
		return nil, &flow.StoredAnswer{Head: head, Body: a.Body, Bytes: a.Bytes, Digest: a.Digest}, nil
	}
	detail := fmt.Sprintf("the call has run to its end with status %d; its answer of %d bytes, SHA-256 %s, was too large to keep", a.Status, a.Bytes, a.Digest)
	return nil, nil, value.Refusal{Reason: value.ReasonOutcomeUnknown, Detail: detail}
}

// refusalOf translates the outcome of a claim that was not granted.
func refusalOf(v ledger.Verdict) value.Refusal {
	switch v.Outcome {
	case ledger.OutcomeRunning:
		return value.Refusal{Reason: value.ReasonStillRunning, RetryAfter: retryAfter, Detail: "an earlier call with this key may still be running"}
	case ledger.OutcomeUnknown:
		return value.Refusal{Reason: value.ReasonOutcomeUnknown, Detail: "an earlier call with this key may have taken effect"}
	case ledger.OutcomeReused:
		return value.Refusal{Reason: value.ReasonKeyReused, NotRun: true, Detail: "the key belongs to another question"}
	case ledger.OutcomeLate:
		return value.Refusal{Reason: value.ReasonDeadline, NotRun: true, Detail: "the deadline passed before the intent was kept"}
	case ledger.OutcomeFull:
		return unavailable("the journal of the slot is full")
	}
	return unavailable("the journal answered " + string(v.Outcome))
}

// unavailable is the refusal of a claim that could not be recorded; the request has not run.
func unavailable(detail string) value.Refusal {
	return value.Refusal{Reason: value.ReasonJournalDown, NotRun: true, RetryAfter: retryAfter, Detail: detail}
}

// claim is the right to run one call; it is used by one goroutine.
type claim struct {
	guard *Guard
	op    ledger.Op
}

// Finish records the answer for later calls with the same key, without its body if that is too
// large.
func (c *claim) Finish(ctx context.Context, s flow.StoredAnswer) error {
	answer := ledger.Answer{
		Status:      s.Head.Status,
		ContentType: s.Head.ContentType,
		Body:        s.Body,
		Digest:      s.Digest,
		Bytes:       s.Bytes,
	}
	if !s.IsWhole() || s.Bytes > c.guard.config.Rule.MaxAnswerBytes {
		answer = answer.WithoutBody()
	}
	return c.guard.recordEnd(ctx, c.op.WithAnswer(answer))
}

// Release frees the key; it may be called only if nothing was dispatched.
func (c *claim) Release(ctx context.Context) error {
	return c.guard.recordEnd(ctx, c.op.WithVerb(ledger.VerbRelease))
}

// MarkInDoubt records the outcome as unknown, after a dispatch that gave no complete answer.
func (c *claim) MarkInDoubt(ctx context.Context) error {
	return c.guard.recordEnd(ctx, c.op.WithVerb(ledger.VerbMarkInDoubt))
}

// recordEnd records the end of a claim. It returns once the record is written, RecordWait has
// passed or the context is done. In the last two cases the record is written in the background, and
// until then retries are refused because the call may still be running.
func (g *Guard) recordEnd(ctx context.Context, op ledger.Op) error {
	recorded, err := g.recordEndAsync(op)
	if err != nil {
		return err
	}
	timer := time.NewTimer(g.config.RecordWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// releaseUncertain frees the key of a claim that failed but may have been recorded. If the backlog
// is full, the claim is left to expire after its deadline with an unknown outcome.
func (g *Guard) releaseUncertain(op ledger.Op, err error) {
	if !errors.As(err, new(uncertainError)) {
		return
	}
	_, _ = g.recordEndAsync(op.WithVerb(ledger.VerbRelease))
}

var errBacklog = errors.New("too many claims wait for their end to be recorded")

// recordEndAsync records the end of a claim in the background, with retries; the channel is closed
// once the record is written, and never if the guard is closed before.
func (g *Guard) recordEndAsync(op ledger.Op) (<-chan struct{}, error) {
	if !g.reserveBacklog() {
		return nil, fmt.Errorf("record end of claim: %w", errBacklog)
	}
	recorded := make(chan struct{})
	started := g.start(func() {
		defer g.releaseBacklog()
		for attempt := 1; ; attempt++ {
			if _, err := g.submit(g.ctx, op); err == nil {
				close(recorded)
				return
			}
			if g.backOff(g.ctx, attempt) != nil {
				return
			}
		}
	})
	if !started {
		g.releaseBacklog()
		return nil, fmt.Errorf("record end of claim: %w", errClosed)
	}
	return recorded, nil
}

// reserveBacklog counts one more unsettled claim, unless the backlog is full.
func (g *Guard) reserveBacklog() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unsettled >= g.config.MaxBacklog {
		return false
	}
	if g.unsettled == 0 {
		g.settled = make(chan struct{})
	}
	g.unsettled++
	return true
}

// releaseBacklog counts one unsettled claim less.
func (g *Guard) releaseBacklog() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsettled--
	if g.unsettled == 0 {
		close(g.settled)
	}
}
