package query

import (
	"time"

	"endivehitch/core/relay"
)

// AgainKind is a way in which a request may run again. The router never lets two attempts of a request run at once on
// purpose, so there are no hedges.
type AgainKind int

// The ways in which a request may run again.
const (
	// AgainRetry is another attempt after one that has ended. If the caller has a part of the answer already, it is a
	// resumption.
	AgainRetry AgainKind = iota
	// AgainMove is another attempt in place of one that is under way and is silent or waits for too long.
	AgainMove
	// AgainRescue is the same in place of one whose end would be too late.
	AgainRescue
	// AgainStepUp is another attempt with a larger model in place of an answer of low confidence.
	AgainStepUp
)

// Again is what a request is to run again for, and what is known of it.
type Again struct {
	Kind AgainKind
	// Ending is how the last attempt ended, or would end.
	Ending Ending
	// Attempts counts the request's attempts, including that one.
	Attempts RequestAttempts
	// Left is the time until the deadline.
	Left time.Duration
	// ResponseStarted is set once the caller has received a part of an answer.
	ResponseStarted bool
}

// MayRunAgain reports whether the request may run again. Whether it does also depends on what the attempt has shown, the
// retry budget, the quarantine of its parts and the servers that are left.
func MayRunAgain(route relay.Route, again Again) bool {
	if again.Kind == AgainStepUp {
		return mayStepUp(route, again)
	}
	return MayRetry(route, again.Ending, again.Attempts, again.Left)
}

// mayStepUp reports whether the answer may be dropped: the model's route has larger ones, the request may run again, the
// caller has none of the answer, the route allows another attempt, and at least half of the objective is left.
func mayStepUp(route relay.Route, again Again) bool {
	if !route.IsRepeatable() || !route.IsCascade() || again.ResponseStarted {
		return false
	}
	return again.Attempts.Run < route.Attempts && again.Left >= route.Objective/2
}
