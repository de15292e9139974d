package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// DueStep is the next step of a roll-out whose conditions are met.
type DueStep struct {
	RollOut value.RollOutName
	// Stage is the roll-out's present stage.
	Stage int
	// Withdraw is the version to withdraw; it is empty if the roll-out is to advance.
	Withdraw value.VersionKey
	Reason   value.Reason
}

// DueSteps returns the steps that are due in the document's roll-outs, including those that another
// instance has begun and not finished.
func DueSteps(s state.State, now time.Time) []DueStep {
	var due []DueStep
	for _, r := range s.Config.Document.RollOuts {
		p := s.Position(r)
		if p.Phase != value.PhaseStaged {
			continue
		}
		if reason := rollbackReason(s, r, p, now); reason != "" {
			due = append(due, DueStep{RollOut: r.Name, Stage: p.Stage, Withdraw: r.ToKey(), Reason: reason})
			continue
		}
		if _, err := steps.Advance(r, p, steps.StageMeasurements{Ratings: s.RollOutTests(r).Ratings}, now); err == nil {
			due = append(due, DueStep{RollOut: r.Name, Stage: p.Stage})
		}
	}
	return due
}

// rollbackReason returns why the roll-out has to be rolled back, or an empty reason.
func rollbackReason(s state.State, r value.RollOut, p value.Progress, now time.Time) value.Reason {
	if s.IsWithdrawn(r.ToKey()) {
		return value.ReasonOperator
	}
	_, notDue := steps.Advance(r, p, steps.StageMeasurements{Ratings: s.RollOutTests(r).Ratings}, now)
	if notDue != nil && steps.IsOverdue(r, p, now) {
		return value.ReasonOverdue
	}
	return ""
}
