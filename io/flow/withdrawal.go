package flow

import (
	"errors"

	"endivehitch/core/query"
	"endivehitch/core/value"
)

// errWithdrawn ends the wait of a request whose version was withdrawn in the meantime.
var errWithdrawn = value.Refusal{Reason: value.ReasonVersionWithdrawn, Detail: "version was withdrawn while the request waited"}

// isWithdrawn reports whether the error says that the version was withdrawn, so that the request
// needs another one.
func isWithdrawn(err error) bool {
	var refusal value.Refusal
	return errors.As(err, &refusal) && refusal.Reason == value.ReasonVersionWithdrawn
}

// currentTarget returns the target, with another version if its own was withdrawn since the request
// was planned.
func (e *execution) currentTarget(target query.Target) (query.Target, error) {
	s := e.flow.Snapshot()
	if !query.IsWithdrawn(s, target) {
		return target, nil
	}
	plan, err := query.ChoosePlan(s, e.admitted, e.job.Request, e.flow.Now())
	if err != nil {
		return target, err
	}
	target.Version = plan.Last()
	e.record(e.newDecision(value.StepPlan).WithChoice(target.Version, "", plan.Candidates, value.ReasonVersionWithdrawn).WithCost(plan.CostMicros))
	return target, nil
}
