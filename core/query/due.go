package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// DueStep is a step that a roll-out is ready for.
type DueStep struct {
	RollOut value.RollOutName
	// Stage is the stage that an advance leaves.
	Stage int
	// Withdraw is the version to be withdrawn; it is empty where the roll-out is to advance.
	Withdraw value.VersionKey
	Reason   value.Reason
}

// Due lists the steps that roll-outs are ready for, also those that another instance left halfway.
func Due(s state.State, now time.Time) []DueStep {
	var list []DueStep
	for _, r := range s.Config.Document.RollOuts {
		p := s.Position(r)
		if p.Phase != value.PhaseStaged {
			continue
		}
		if why := returns(s, r, p, now); why != "" {
			list = append(list, DueStep{RollOut: r.Name, Stage: p.Stage, Withdraw: r.ToKey(), Reason: why})
			continue
		}
		if _, err := steps.Advance(r, p, steps.Seen{Ratings: s.Watch(r).Ratings}, now); err == nil {
			list = append(list, DueStep{RollOut: r.Name, Stage: p.Stage})
		}
	}
	return list
}

// returns gives the reason for which the roll-out has to be taken back, if there is one.
func returns(s state.State, r value.RollOut, p value.Progress, now time.Time) value.Reason {
	if s.Withdrawn(r.ToKey()) {
		return value.ReasonOperator
	}
	_, due := steps.Advance(r, p, steps.Seen{Ratings: s.Watch(r).Ratings}, now)
	if due != nil && steps.Overdue(r, p, now) {
		return value.ReasonOverdue
	}
	return ""
}
