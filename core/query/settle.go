package query

import "endivehitch/core/value"

// Outcome says what became of a change.
type Outcome string

// The outcomes of a change.
const (
	// OutcomeApplied says that the change stands.
	OutcomeApplied Outcome = "Applied"
	// OutcomeOvertaken says that the change took effect and a later one stands in its place.
	OutcomeOvertaken Outcome = "Overtaken"
	// OutcomeOpen says that the change has not taken effect and still can.
	OutcomeOpen Outcome = "Open"
	// OutcomeConflict says that another change replaced the revision that this one expected.
	OutcomeConflict Outcome = "Conflict"
	// OutcomeBehind says that what stands is older than the revision that the change expects.
	OutcomeBehind Outcome = "Behind"
	// OutcomeForgotten says that the trail no longer reaches back to the revision that the change expects.
	OutcomeForgotten Outcome = "Forgotten"
)

// Settle tells from what stands what became of a change.
//
// At most one change replaces a revision, so the one that replaced the expected
// revision decides: it is this change, or this change never takes effect. The
// answer holds even if what stands was read from an older state.
func Settle(present value.Standing, mine value.Change) Outcome {
	if present.Revision < mine.Expect {
		return OutcomeBehind
	}
	if present.Revision == mine.Expect {
		return OutcomeOpen
	}
	if present.Change.ID == mine.ID {
		return OutcomeApplied
	}
	if present.Change.Expect == mine.Expect {
		return OutcomeConflict
	}
	for _, c := range present.Trail {
		if c.ID == mine.ID {
			return OutcomeOvertaken
		}
		if c.Expect == mine.Expect {
			return OutcomeConflict
		}
	}
	return OutcomeForgotten
}
