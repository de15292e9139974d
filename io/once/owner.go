package once

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// submitMethod is the RPC method with which an owner accepts the operations of other instances.
var submitMethod = peer.Method[wireOp, wireVerdict]{Name: "Once.Submit"}

// wireOp is an operation as it is sent to the slot's owner.
type wireOp struct {
	Verb     ledger.Verb
	ID       ledger.CallID
	Kind     value.KindName
	Question uint64
	Token    string
	Holder   value.InstanceID
	Until    time.Time
	Answer   wireAnswer
}

// wireVerdict is the owner's reply. If Failed is set there is no verdict, and Unsure means that the
// operation may have been written nevertheless.
type wireVerdict struct {
	Outcome ledger.Outcome
	Record  wireRecord
	Failed  string
	Unsure  bool
}

// submit has the operation decided by the slot's owner or, if that fails, by this instance.
// Deciding it twice is safe because operations are idempotent by their token.
func (g *Guard) submit(ctx context.Context, op ledger.Op) (ledger.Verdict, error) {
	number := op.ID.Slot(g.config.Slots)
	if g.decidesLocally(number) {
		return g.slots[number].submit(ctx, op)
	}
	v, forwardErr := g.forward(ctx, number, op)
	if forwardErr == nil {
		g.updateStats(func(stats Stats) Stats { stats.Forwarded++; return stats })
		return v, nil
	}
	v, err := g.slots[number].submit(ctx, op)
	if err != nil {
		return v, uncertainIf(errors.As(forwardErr, new(uncertainError)), errors.Join(err, forwardErr))
	}
	return v, nil
}

// forward sends the operation to the owner. The error is an uncertainError unless the owner was not
// reached or knows that nothing was written.
func (g *Guard) forward(ctx context.Context, number int, op ledger.Op) (ledger.Verdict, error) {
	owner, _ := g.config.Owner(number)
	ctx, cancel := context.WithTimeout(ctx, g.config.OwnerTimeout)
	defer cancel()
	reply, err := submitMethod.Call(ctx, g.config.Caller, owner, wireOp{
		Verb:     op.Verb,
		ID:       op.ID,
		Kind:     op.Kind,
		Question: op.RequestHash,
		Token:    op.Token,
		Holder:   op.Holder,
		Until:    op.Until,
		Answer:   wireAnswer(op.Answer),
	})
	if err != nil {
		err = fmt.Errorf("forward to owner %s: %w", owner.ID, err)
		return ledger.Verdict{}, uncertainIf(!errors.Is(err, peer.ErrUnreachable), err)
	}
	if reply.Failed != "" {
		return ledger.Verdict{}, uncertainIf(reply.Unsure, fmt.Errorf("owner %s: %s", owner.ID, reply.Failed))
	}
	return ledger.Verdict{Outcome: reply.Outcome, Record: decodeRecord(reply.Record)}, nil
}

// Register registers the method with which this instance decides operations for the others.
func (g *Guard) Register(r peer.Registrar) error {
	if err := submitMethod.Serve(r, g.serveSubmit); err != nil {
		return fmt.Errorf("register journal method: %w", err)
	}
	return nil
}

// serveSubmit decides an operation for another instance.
func (g *Guard) serveSubmit(w wireOp) (wireVerdict, error) {
	ctx, cancel := context.WithTimeout(g.ctx, g.config.OwnerTimeout)
	defer cancel()
	op := ledger.Op{
		Verb:        w.Verb,
		ID:          w.ID,
		Kind:        w.Kind,
		RequestHash: w.Question,
		Token:       w.Token,
		Holder:      w.Holder,
		Until:       w.Until,
		Answer:      ledger.Answer(w.Answer),
	}
	v, err := g.slots[op.ID.Slot(g.config.Slots)].submit(ctx, op)
	if err != nil {
		return wireVerdict{Failed: err.Error(), Unsure: errors.As(err, new(uncertainError))}, nil
	}
	return wireVerdict{Outcome: v.Outcome, Record: encodeRecord(v.Record)}, nil
}
