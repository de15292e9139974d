package steps

import (
	"fmt"
	"time"

	"endivehitch/core/value"
)

// Verb is what an operator orders of a roll-out.
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
	// Stage is the stage to be left by an advance, so that a repeated order skips nothing.
	Stage int
}

// Obey returns the position that the order leads to and whether it differs from the present one.
//
// An order whose aim is already reached changes nothing, so that it may be
// repeated; the error is value.ChangeRefused where the aim can't be reached.
func Obey(r value.RollOut, p value.Progress, o Order, now time.Time) (value.Progress, bool, error) {
	if reached(r, p, o) {
		return p, false, nil
	}
	next, err := obey(r, p, o, now)
	if err != nil {
		return p, false, value.ChangeRefused{
			Reason: value.ReasonWrongPhase,
			Detail: fmt.Sprintf("roll-out %s is in phase %s at stage %d: %v", r.Name, p.Phase, p.Stage, err),
		}
	}
	return next, true, nil
}

func reached(r value.RollOut, p value.Progress, o Order) bool {
	switch o.Verb {
	case VerbStart:
		return p.Phase == value.PhaseStaged
	case VerbAdvance:
		ended := p.Phase == value.PhaseDone && o.Stage == len(r.Stages)-1
		return ended || p.Phase == value.PhaseStaged && p.Stage == o.Stage+1
	}
	return p.Phase == value.PhaseWithdrawn
}

func obey(r value.RollOut, p value.Progress, o Order, now time.Time) (value.Progress, error) {
	switch o.Verb {
	case VerbStart:
		return Start(r, p, now)
	case VerbAdvance:
		if p.Stage != o.Stage {
			return p, fmt.Errorf("stage %d is not the one to be left", o.Stage)
		}
		return Skip(r, p, now)
	case VerbWithdraw:
		return Withdraw(p, value.ReasonOperator, now)
	}
	return p, fmt.Errorf("no verb %q", o.Verb)
}
