package query

import "endivehitch/core/value"

// Outcome is the outcome of a change to the configuration.
type Outcome string

// The outcomes of a change.
const (
	// OutcomeApplied means that the change led to the record in force.
	OutcomeApplied Outcome = "Applied"
	// OutcomeSuperseded means that the change took effect and a later one has replaced it.
	OutcomeSuperseded Outcome = "Overtaken"
	// OutcomeOpen means that the change has not taken effect and still can.
	OutcomeOpen Outcome = "Open"
	// OutcomeConflict means that another change replaced the revision that this one expected.
	OutcomeConflict Outcome = "Conflict"
	// OutcomeStaleRecord means that the record is older than the revision that the change expects.
	OutcomeStaleRecord Outcome = "Behind"
	// OutcomeBeyondHistory means that the change history no longer reaches back to the revision that
	// the change expects.
	OutcomeBeyondHistory Outcome = "Forgotten"
)

// OutcomeOf returns the outcome of a change, given the current record.
//
// At most one change can replace a revision. If the change that replaced the expected revision is
// another one, this change never takes effect. So whether the change took effect is certain with
// OutcomeApplied, OutcomeSuperseded and OutcomeConflict, even if the record is outdated; OutcomeOpen
// holds only for the record given.
func OutcomeOf(current value.CurrentRecord, change value.Change) Outcome {
	if current.Revision < change.Expect {
		return OutcomeStaleRecord
	}
	if current.Revision == change.Expect {
		return OutcomeOpen
	}
	if current.Change.ID == change.ID {
		return OutcomeApplied
	}
	if current.Change.Expect == change.Expect {
		return OutcomeConflict
	}
	for _, c := range current.History {
		if c.ID == change.ID {
			return OutcomeSuperseded
		}
		if c.Expect == change.Expect {
			return OutcomeConflict
		}
	}
	return OutcomeBeyondHistory
}
