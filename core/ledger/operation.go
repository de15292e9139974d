package ledger

import (
	"time"

	"endivehitch/core/value"
)

// Verb is the kind of an operation on a journal.
type Verb string

// The verbs of operations.
const (
	VerbClaim       Verb = "Claim"
	VerbFinish      Verb = "Finish"
	VerbMarkInDoubt Verb = "Doubt"
	VerbRelease     Verb = "Release"
)

// Op is one operation on the record of a call; its token makes it idempotent.
type Op struct {
	Verb Verb
	ID   CallID
	Kind value.KindName
	// RequestHash is the hash of the request's content.
	RequestHash uint64
	Token       string
	Holder      value.InstanceID
	// Until is the deadline of the claimed execution.
	Until time.Time
	// Answer is the answer of a finished execution.
	Answer Answer
}

// WithVerb returns a copy with another verb for the same claim.
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

// Outcome is the result of an operation.
type Outcome string

// The outcomes of operations.
const (
	// OutcomeGranted means that the claimed call may be dispatched once the journal is written.
	OutcomeGranted Outcome = "Granted"
	// OutcomeAnswered means that the call has already finished; the record has its answer.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeRunning means that another execution of the call may still be in progress.
	OutcomeRunning Outcome = "Running"
	// OutcomeUnknown means that it is unknown whether an earlier execution took effect.
	OutcomeUnknown Outcome = "Unknown"
	// OutcomeReused means that the key was already used for another request.
	OutcomeReused Outcome = "Reused"
	// OutcomeFull means that the journal has no space for the claim.
	OutcomeFull Outcome = "Full"
	// OutcomeLate means that the claim arrived after its own deadline or after its release.
	OutcomeLate Outcome = "Late"
	// OutcomeSettled means that a finish, a mark in doubt or a release has been applied or changes nothing.
	OutcomeSettled Outcome = "Settled"
	// OutcomeNotHeld means that the journal has no claim with the operation's token.
	OutcomeNotHeld Outcome = "Foreign"
)

// Verdict is the outcome of an operation and the call's record.
type Verdict struct {
	Outcome Outcome
	Record  Record
}
