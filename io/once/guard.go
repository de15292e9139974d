package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// retryAfter is the advice to a caller whose claim could not be kept.
const retryAfter = 2 * time.Second

// Claim returns the right to run, or the kept answer of an earlier run; the error is a value.Refusal.
func (g *Guard) Claim(ctx context.Context, r value.Request) (flow.Claim, *flow.Stored, error) {
	op := ledger.Op{
		Verb:        ledger.VerbClaim,
		ID:          ledger.NewCallID(r.Account, r.Key),
		Kind:        r.Kind,
		RequestHash: r.Question,
		Token:       g.config.NewToken(),
		Holder:      g.config.Self,
		Until:       r.Deadline,
	}
	v, err := g.submit(ctx, op)
	if err != nil {
		g.abandon(op, err)
		return nil, nil, unavailable(err.Error())
	}
	switch v.Outcome {
	case ledger.OutcomeGranted:
		return &claim{guard: g, op: op}, nil, nil
	case ledger.OutcomeAnswered:
		return replay(v.Record.Answer)
	}
	return nil, nil, refusalOf(v)
}

// replay returns the kept answer, or says honestly that the call ran and its answer is no longer there.
func replay(a ledger.Answer) (flow.Claim, *flow.Stored, error) {
	if a.IsComplete() {
		head := engine.Head{Status: a.Status, ContentType: a.ContentType}
		return nil, &flow.Stored{Head: head, Body: a.Body}, nil
	}
	detail := fmt.Sprintf("the call has run to its end with status %d; its answer of %d bytes, SHA-256 %s, was too large to keep", a.Status, a.Bytes, a.Digest)
	return nil, nil, value.Refusal{Reason: value.ReasonOutcomeUnknown, Detail: detail}
}

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

func unavailable(detail string) value.Refusal {
	return value.Refusal{Reason: value.ReasonJournalDown, NotRun: true, RetryAfter: retryAfter, Detail: detail}
}

// claim is the right to run one call; it belongs to one goroutine.
type claim struct {
	guard *Guard
	op    ledger.Op
}

// Finish keeps the answer for later calls with the same key.
func (c *claim) Finish(ctx context.Context, s flow.Stored) error {
	sum := sha256.Sum256(s.Body)
	answer := ledger.Answer{
		Status:      s.Head.Status,
		ContentType: s.Head.ContentType,
		Body:        s.Body,
		Digest:      hex.EncodeToString(sum[:]),
		Bytes:       len(s.Body),
	}
	if len(s.Body) > c.guard.config.Rule.MaxAnswerBytes {
		answer = answer.WithoutBody()
	}
	return c.guard.settle(ctx, c.op.WithAnswer(answer))
}

// Release gives the key back; it is called only when nothing was dispatched.
func (c *claim) Release(ctx context.Context) error {
	return c.guard.settle(ctx, c.op.WithVerb(ledger.VerbRelease))
}

// Doubt marks the outcome as unknown, after a dispatch that did not end in a whole answer.
func (c *claim) Doubt(ctx context.Context) error {
	return c.guard.settle(ctx, c.op.WithVerb(ledger.VerbMarkInDoubt))
}

// settle records the end of a claim. It returns once that is kept or SettleWait has passed; the
// record is then kept in the background, while later tries see a running call.
func (g *Guard) settle(ctx context.Context, op ledger.Op) error {
	kept, err := g.settleLater(op)
	if err != nil {
		return err
	}
	t := time.NewTimer(g.config.SettleWait)
	defer t.Stop()
	select {
	case <-kept:
	case <-t.C:
	case <-ctx.Done():
	}
	return nil
}

// abandon gives back a claim that may have been kept, so that the key is free again. Without room in
// the backlog the claim ends by its deadline, as an unknown outcome.
func (g *Guard) abandon(op ledger.Op, err error) {
	if !errors.As(err, new(unsure)) {
		return
	}
	_, _ = g.settleLater(op.WithVerb(ledger.VerbRelease))
}

var errBacklog = errors.New("too many claims wait for their end to be recorded")

// settleLater records the end of a claim in the background; the channel is closed once it is kept.
func (g *Guard) settleLater(op ledger.Op) (<-chan struct{}, error) {
	if !g.reserve() {
		return nil, fmt.Errorf("record end of claim: %w", errBacklog)
	}
	kept := make(chan struct{})
	started := g.start(func() {
		defer g.release()
		for try := 1; ; try++ {
			if _, err := g.submit(g.ctx, op); err == nil {
				close(kept)
				return
			}
			if g.pause(g.ctx, try) != nil {
				return
			}
		}
	})
	if !started {
		g.release()
		return nil, fmt.Errorf("record end of claim: %w", errClosed)
	}
	return kept, nil
}

// reserve takes a place in the backlog.
func (g *Guard) reserve() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unsettled >= g.config.Backlog {
		return false
	}
	if g.unsettled == 0 {
		g.settled = make(chan struct{})
	}
	g.unsettled++
	return true
}

func (g *Guard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsettled--
	if g.unsettled == 0 {
		close(g.settled)
	}
}
