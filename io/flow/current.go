package flow

import (
	"errors"

	"endivehitch/core/query"
	"endivehitch/core/value"
)

// errRetired ends the wait of a request whose version was withdrawn meanwhile.
var errRetired = value.Refusal{Reason: value.ReasonVersionRetired, Detail: "version was withdrawn while the request waited"}

// retired reports whether the request has to be planned anew, because its version was withdrawn.
func retired(err error) bool {
	var refusal value.Refusal
	return errors.As(err, &refusal) && refusal.Reason == value.ReasonVersionRetired
}

// current returns the target, or another one if its version was withdrawn since the request was planned.
func (r *run) current(t query.Target) (query.Target, error) {
	s := r.flow.Snapshot()
	if !query.IsWithdrawn(s, t) {
		return t, nil
	}
	plan, err := query.ChoosePlan(s, r.admitted, r.job.Request, r.flow.Now())
	if err != nil {
		return t, err
	}
	t.Version = plan.Last()
	r.record(r.decision(value.StepPlan).WithChoice(t.Version, "", plan.Candidates, value.ReasonVersionRetired).WithCost(plan.CostMicros))
	return t, nil
}
