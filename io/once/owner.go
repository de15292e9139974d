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

// submitMethod is the method by which owners take the operations of other instances.
var submitMethod = peer.Method[wireOp, wireVerdict]{Name: "Once.Submit"}

// wireOp is an operation on its way to the slot's owner.
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

// wireVerdict is the owner's reply; where Failed is set there is no verdict, and Unsure says that
// the operation may have been written all the same.
type wireVerdict struct {
	Outcome ledger.Outcome
	Record  wireRecord
	Failed  string
	Unsure  bool
}

// submit has the operation decided on by the slot's owner or, where that fails, by this instance.
func (g *Guard) submit(ctx context.Context, op ledger.Op) (ledger.Verdict, error) {
	number := op.ID.Slot(g.config.Slots)
	if g.owns(number) {
		return g.slots[number].do(ctx, op)
	}
	v, forwardErr := g.forward(ctx, number, op)
	if forwardErr == nil {
		g.count(func(u Usage) Usage { u.Forwarded++; return u })
		return v, nil
	}
	v, err := g.slots[number].do(ctx, op)
	if err != nil {
		return v, unsureIf(errors.As(forwardErr, new(unsure)), errors.Join(err, forwardErr))
	}
	return v, nil
}

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
		return ledger.Verdict{}, unsureIf(!errors.Is(err, peer.ErrUnreachable), err)
	}
	if reply.Failed != "" {
		return ledger.Verdict{}, unsureIf(reply.Unsure, fmt.Errorf("owner %s: %s", owner.ID, reply.Failed))
	}
	return ledger.Verdict{Outcome: reply.Outcome, Record: decodeRecord(reply.Record)}, nil
}

// Register offers this instance's journals to the others.
func (g *Guard) Register(r peer.Registrar) error {
	if err := submitMethod.Serve(r, g.take); err != nil {
		return fmt.Errorf("offer journals: %w", err)
	}
	return nil
}

// take decides on an operation of another instance.
func (g *Guard) take(w wireOp) (wireVerdict, error) {
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
	v, err := g.slots[op.ID.Slot(g.config.Slots)].do(ctx, op)
	if err != nil {
		return wireVerdict{Failed: err.Error(), Unsure: errors.As(err, new(unsure))}, nil
	}
	return wireVerdict{Outcome: v.Outcome, Record: encodeRecord(v.Record)}, nil
}
