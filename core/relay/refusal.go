package relay

import (
	"fmt"
	"time"
)

// Reason says why a request was refused or failed.
type Reason string

// The reasons for which a request is refused or fails.
const (
	ReasonNoConfig   Reason = "NoConfiguration"
	ReasonNoRoute    Reason = "NoRoute"
	ReasonNoKey      Reason = "UnknownKey"
	ReasonLeaving    Reason = "InstanceLeaving"
	ReasonNoServer   Reason = "NoServer"
	ReasonCrowded    Reason = "NoRoom"
	ReasonUnknown    Reason = "OutcomeUnknown"
	ReasonTimeout    Reason = "Timeout"
	ReasonTooLarge   Reason = "TooLarge"
	ReasonMalformed  Reason = "Malformed"
	ReasonCallerLeft Reason = "CallerLeft"
)

// Refusal is a final answer of the router's own.
type Refusal struct {
	Reason Reason
	// NotRun is set when no backend server has run the request or ever will.
	NotRun bool
	// RetryAfter is when to come back; zero means that the refusal doesn't say.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason and its detail.
func (r Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}
