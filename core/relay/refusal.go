package relay

import "endivehitch/core/value"

// Reason says why a request was refused or failed.
type Reason = value.Reason

// The reasons why a request is refused or fails.
const (
	ReasonNoConfig       Reason = "NoConfiguration"
	ReasonUnconfirmed    Reason = "StateUnconfirmed"
	ReasonNoRoute        Reason = "NoRoute"
	ReasonUnknownKey     Reason = "UnknownKey"
	ReasonLeaving        Reason = "InstanceLeaving"
	ReasonNoServer       Reason = "NoServer"
	ReasonEvacuated      Reason = "DomainsEvacuated"
	ReasonRegion         Reason = "NoServerInRegion"
	ReasonSaturated      Reason = "NoRoom"
	ReasonOutcomeUnknown Reason = "OutcomeUnknown"
	ReasonTimeout        Reason = "Timeout"
	ReasonTooLarge       Reason = "TooLarge"
	ReasonHeaderTooLarge Reason = "HeaderTooLarge"
	ReasonMalformed      Reason = "Malformed"
	ReasonQuarantined    Reason = "PromptQuarantined"
	ReasonCallerLeft     Reason = "CallerLeft"
	// ReasonDeadlineTooNear means that no server is expected to answer before the deadline.
	ReasonDeadlineTooNear Reason = "DeadlineTooNear"
	// ReasonOverShare means that the engines are short of capacity and the client account uses more than its share.
	ReasonOverShare Reason = "OverShare"
)

// Refusal is a final answer of the router itself; its NotRun is set when no backend server has run
// the request or will run it.
type Refusal = value.Refusal
