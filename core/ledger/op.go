package ledger

import (
	"time"

	"endivehitch/core/value"
)

// Verb is what an operation asks of a journal.
type Verb string

// The verbs of operations.
const (
	VerbClaim   Verb = "Claim"
	VerbFinish  Verb = "Finish"
	VerbDoubt   Verb = "Doubt"
	VerbRelease Verb = "Release"
)

// Op is one operation on the record of a call, idempotent by its token.
type Op struct {
	Verb     Verb
	ID       CallID
	Kind     value.KindName
	Question uint64
	Token    string
	Holder   value.InstanceID
	// Until is the deadline of the run that is claimed.
	Until time.Time
	// Answer is what a finished run answered.
	Answer Answer
}

// WithVerb returns a copy that asks something else of the same claim.
func (o Op) WithVerb(v Verb) Op {
	o.Verb = v
	return o
}

// WithAnswer returns a copy that finishes the claim with the answer.
func (o Op) WithAnswer(a Answer) Op {
	o.Verb = VerbFinish
	o.Answer = a
	return o
}

// Outcome is a journal's answer to an operation.
type Outcome string

// The outcomes of operations.
const (
	// OutcomeGranted claims may be dispatched once the journal is written.
	OutcomeGranted Outcome = "Granted"
	// OutcomeAnswered claims meet a finished run.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeRunning claims meet a run that may still be under way.
	OutcomeRunning Outcome = "Running"
	// OutcomeUnknown claims meet a run of which nobody knows whether it took effect.
	OutcomeUnknown Outcome = "Unknown"
	// OutcomeReused claims meet a record of another question under the same key.
	OutcomeReused Outcome = "Reused"
	// OutcomeFull claims find no room in the journal.
	OutcomeFull Outcome = "Full"
	// OutcomeLate claims come after their own deadline or after they were given back.
	OutcomeLate Outcome = "Late"
	// OutcomeSettled operations end a claim.
	OutcomeSettled Outcome = "Settled"
	// OutcomeForeign operations would end a claim that is no longer in the journal.
	OutcomeForeign Outcome = "Foreign"
)

// Verdict is the outcome of an operation and the record that it met.
type Verdict struct {
	Outcome Outcome
	Record  Record
}
