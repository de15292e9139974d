package steps

import (
	"fmt"
	"time"

	"endivehitch/core/value"
)

// Verb is the kind of an operator's order.
type Verb string

// The verbs of operators' orders.
const (
	VerbStart    Verb = "Start"
	VerbAdvance  Verb = "Advance"
	VerbWithdraw Verb = "Withdraw"
)

// Order is an operator's order to a roll-out.
type Order struct {
	Verb Verb
	// Stage is the stage that an advance leaves, so that a repeated order does not skip a stage.
	Stage int
}

// ApplyOrder returns the position after the order, and whether the order has changed it.
//
// An order whose target position is already reached changes nothing, so that it may be repeated. The
// error is value.ChangeRefused where the present position does not allow the order.
func ApplyOrder(r value.RollOut, p value.Progress, o Order, now time.Time) (value.Progress, bool, error) {
	if isReached(r, p, o) {
		return p, false, nil
	}
	next, err := applyVerb(r, p, o, now)
	if err != nil {
		return p, false, value.ChangeRefused{
			Reason: value.ReasonWrongPhase,
			Detail: fmt.Sprintf("roll-out %s is in phase %s at stage %d: %v", r.Name, p.Phase, p.Stage, err),
		}
	}
	return next, true, nil
}

// isReached reports whether the roll-out is already where the order would bring it.
func isReached(r value.RollOut, p value.Progress, o Order) bool {
	switch o.Verb {
	case VerbStart:
		return p.Phase == value.PhaseStaged
	case VerbAdvance:
		ended := p.Phase == value.PhaseDone && o.Stage == len(r.Stages)-1
		return ended || p.Phase == value.PhaseStaged && p.Stage == o.Stage+1
	}
	return p.Phase == value.PhaseWithdrawn
}

func applyVerb(r value.RollOut, p value.Progress, o Order, now time.Time) (value.Progress, error) {
	switch o.Verb {
	case VerbStart:
		return Start(r, p, now)
	case VerbAdvance:
		if p.Stage != o.Stage {
			return p, fmt.Errorf("stage %d is not the one to be left", o.Stage)
		}
		return ForceAdvance(r, p, now)
	case VerbWithdraw:
		return Withdraw(p, value.ReasonOperator, now)
	}
	return p, fmt.Errorf("no verb %q", o.Verb)
}
