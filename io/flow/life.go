package flow

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
)

// The states of a request's life.
const (
	stateAccepted   = "Accepted"
	stateAdmitted   = "Admitted"
	statePlanned    = "Planned"
	stateRouted     = "Routed"
	stateDispatched = "Dispatched"
	stateAnswering  = "Answering"
	stateWhole      = "Whole"
	stateBilled     = "Billed"
	stateAnswered   = "Answered"
	stateRefused    = "Refused"
)

// The events that move a request on.
const (
	eventAdmit    = "Admit"
	eventPlan     = "Plan"
	eventRoute    = "Route"
	eventDispatch = "Dispatch"
	eventHead     = "Head"
	eventComplete = "Complete"
	eventBill     = "Bill"
	eventAnswer   = "Answer"
	eventRetry    = "Retry"
	eventEscalate = "Escalate"
	eventRefuse   = "Refuse"
	eventJoin     = "Join"
	eventLeave    = "Leave"
)

var lifeEvents = fsm.Events{
	{Name: eventAdmit, Src: []string{stateAccepted}, Dst: stateAdmitted},
	{Name: eventPlan, Src: []string{stateAdmitted}, Dst: statePlanned},
	{Name: eventRoute, Src: []string{statePlanned}, Dst: stateRouted},
	{Name: eventDispatch, Src: []string{stateRouted}, Dst: stateDispatched},
	{Name: eventHead, Src: []string{stateDispatched}, Dst: stateAnswering},
	{Name: eventComplete, Src: []string{stateAnswering}, Dst: stateWhole},
	{Name: eventBill, Src: []string{stateWhole}, Dst: stateBilled},
	{Name: eventAnswer, Src: []string{stateBilled}, Dst: stateAnswered},
	{Name: eventRetry, Src: []string{statePlanned, stateRouted, stateDispatched, stateAnswering}, Dst: statePlanned},
	{Name: eventJoin, Src: []string{stateAdmitted}, Dst: stateAnswering},
	{Name: eventLeave, Src: []string{stateAnswering}, Dst: stateAdmitted},
	{Name: eventEscalate, Src: []string{statePlanned, stateRouted, stateDispatched, stateAnswering, stateWhole}, Dst: statePlanned},
	{Name: eventRefuse, Src: []string{
		stateAccepted, stateAdmitted, statePlanned, stateRouted, stateDispatched, stateAnswering, stateWhole, stateBilled,
	}, Dst: stateRefused},
}

type life struct {
	machine *fsm.FSM
}

func newLife() life {
	return life{machine: fsm.NewFSM(stateAccepted, lifeEvents, fsm.Callbacks{})}
}

func (l life) move(ctx context.Context, event string) error {
	if err := l.machine.Event(ctx, event); err != nil {
		return fmt.Errorf("move request to %s: %w", event, err)
	}
	return nil
}
