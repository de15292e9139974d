package flow

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
)

// The states of a request.
const (
	stateAccepted   = "Accepted"
	stateAdmitted   = "Admitted"
	statePlanned    = "Planned"
	stateRouted     = "Routed"
	stateDispatched = "Dispatched"
	stateAnswering  = "Answering"
	stateComplete   = "Whole"
	stateBilled     = "Billed"
	stateAnswered   = "Answered"
	stateRefused    = "Refused"
)

// The events that cause transitions between the states.
const (
	eventAdmit    = "Admit"
	eventPlan     = "Plan"
	eventRoute    = "Route"
	eventDispatch = "Dispatch"
	// eventHead occurs when an attempt has begun to answer; the request's other attempts are cancelled.
	eventHead     = "Head"
	eventComplete = "Complete"
	eventBill     = "Bill"
	eventAnswer   = "Answer"
	eventRetry    = "Retry"
	eventEscalate = "Escalate"
	eventRefuse   = "Refuse"
	// eventJoin occurs when the request shares one execution with identical requests, and eventLeave
	// when that execution failed and the request makes another try.
	eventJoin  = "Join"
	eventLeave = "Leave"
)

var lifecycleEvents = fsm.Events{
	{Name: eventAdmit, Src: []string{stateAccepted}, Dst: stateAdmitted},
	{Name: eventPlan, Src: []string{stateAdmitted}, Dst: statePlanned},
	{Name: eventRoute, Src: []string{statePlanned}, Dst: stateRouted},
	{Name: eventDispatch, Src: []string{stateRouted}, Dst: stateDispatched},
	{Name: eventHead, Src: []string{stateDispatched}, Dst: stateAnswering},
	{Name: eventComplete, Src: []string{stateAnswering}, Dst: stateComplete},
	{Name: eventBill, Src: []string{stateComplete}, Dst: stateBilled},
	{Name: eventAnswer, Src: []string{stateBilled}, Dst: stateAnswered},
	{Name: eventRetry, Src: []string{statePlanned, stateRouted, stateDispatched, stateAnswering}, Dst: statePlanned},
	{Name: eventJoin, Src: []string{stateAdmitted}, Dst: stateAnswering},
	{Name: eventLeave, Src: []string{stateAnswering}, Dst: stateAdmitted},
	{Name: eventEscalate, Src: []string{statePlanned, stateRouted, stateDispatched, stateAnswering, stateComplete}, Dst: statePlanned},
	{Name: eventRefuse, Src: []string{
		stateAccepted, stateAdmitted, statePlanned, stateRouted, stateDispatched, stateAnswering, stateComplete, stateBilled,
	}, Dst: stateRefused},
}

// lifecycle is the state machine of one request; it rejects steps that are out of order.
type lifecycle struct {
	machine *fsm.FSM
}

func newLifecycle() lifecycle {
	return lifecycle{machine: fsm.NewFSM(stateAccepted, lifecycleEvents, fsm.Callbacks{})}
}

func (l lifecycle) apply(ctx context.Context, event string) error {
	if err := l.machine.Event(ctx, event); err != nil {
		return fmt.Errorf("move request to %s: %w", event, err)
	}
	return nil
}
