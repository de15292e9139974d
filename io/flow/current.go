package flow

import (
	"endivehitch/core/query"
	"endivehitch/core/value"
)

// current returns the target, or another one if its version was withdrawn since the request was planned.
func (r *run) current(t query.Target) (query.Target, error) {
	s := r.flow.Snapshot()
	if t.Version == "" || !s.Withdrawn(t.Version) {
		return t, nil
	}
	plan, err := query.Choose(s, r.admitted, r.job.Request, r.flow.Now())
	if err != nil {
		return t, err
	}
	r.record(r.decision(value.StepPlan).WithChoice(plan.Last(), "", plan.Candidates, value.ReasonVersionRetired))
	t.Version = plan.Last()
	return t, nil
}
