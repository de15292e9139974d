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

// The name and method under which owners take the operations of other instances.
const (
	serviceName  = "Once"
	submitMethod = serviceName + ".Submit"
)

// wireOp is an operation on its way to the slot's owner; net/rpc takes a slice of it.
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
	var reply []wireVerdict
	args := []wireOp{{
		Verb:     op.Verb,
		ID:       op.ID,
		Kind:     op.Kind,
		Question: op.Question,
		Token:    op.Token,
		Holder:   op.Holder,
		Until:    op.Until,
		Answer:   wireAnswer(op.Answer),
	}}
	if err := g.config.Caller.Call(ctx, owner, submitMethod, args, &reply); err != nil {
		err = fmt.Errorf("forward to owner %s: %w", owner.ID, err)
		return ledger.Verdict{}, unsureIf(!errors.Is(err, peer.ErrUnreachable), err)
	}
	if len(reply) != len(args) {
		return ledger.Verdict{}, unsure{fmt.Errorf("forward to owner %s: %d verdicts", owner.ID, len(reply))}
	}
	if reply[0].Failed != "" {
		return ledger.Verdict{}, unsureIf(reply[0].Unsure, fmt.Errorf("owner %s: %s", owner.ID, reply[0].Failed))
	}
	return ledger.Verdict{Outcome: reply[0].Outcome, Record: decodeRecord(reply[0].Record)}, nil
}

// Register offers this instance's journals to the others.
func (g *Guard) Register(r peer.Registrar) error {
	if err := r.Register(serviceName, &service{guard: g}); err != nil {
		return fmt.Errorf("offer journals: %w", err)
	}
	return nil
}

// service takes the operations of other instances, by net/rpc.
type service struct {
	guard *Guard
}

// Submit decides on the operations and replies with a verdict for each.
func (s *service) Submit(args []wireOp, reply *[]wireVerdict) error {
	ctx, cancel := context.WithTimeout(s.guard.ctx, s.guard.config.OwnerTimeout)
	defer cancel()
	verdicts := make([]wireVerdict, len(args))
	for i, w := range args {
		verdicts[i] = s.submit(ctx, w)
	}
	*reply = verdicts
	return nil
}

func (s *service) submit(ctx context.Context, w wireOp) wireVerdict {
	op := ledger.Op{
		Verb:     w.Verb,
		ID:       w.ID,
		Kind:     w.Kind,
		Question: w.Question,
		Token:    w.Token,
		Holder:   w.Holder,
		Until:    w.Until,
		Answer:   ledger.Answer(w.Answer),
	}
	v, err := s.guard.slots[op.ID.Slot(s.guard.config.Slots)].do(ctx, op)
	if err != nil {
		return wireVerdict{Failed: err.Error(), Unsure: errors.As(err, new(unsure))}
	}
	return wireVerdict{Outcome: v.Outcome, Record: encodeRecord(v.Record)}
}
