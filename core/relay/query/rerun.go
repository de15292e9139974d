package query

import (
	"time"

	"endivehitch/core/relay"
)

// RerunKind is a way in which a request may run rerun. The router never lets two attempts of a request run at once on
// purpose, so there are no hedges.
type RerunKind int

// The ways in which a request may run rerun.
const (
	// RerunRetry is another attempt after one that has ended. If the caller has a part of the answer already, it is a
	// resumption.
	RerunRetry RerunKind = iota
	// RerunMove is another attempt in place of one that is under way and is silent or waits for too long.
	RerunMove
	// RerunRescue is another attempt in place of one that would end too late.
	RerunRescue
	// RerunStepUp is another attempt with a larger model in place of an answer of low confidence.
	RerunStepUp
)

// Rerun is another run of a request that is considered, and what is known of the request.
type Rerun struct {
	Kind RerunKind
	// Ending is how the last attempt ended, or would end if it were given up.
	Ending Ending
	// Attempts counts the request's attempts, including that one.
	Attempts RequestAttempts
	// Left is the time until the deadline.
	Left time.Duration
	// ResponseStarted is set once the caller has received a part of an answer.
	ResponseStarted bool
}

// MayRerun reports whether the request may run again. Whether it does also depends on what the attempt has shown, the
// retry budget, the quarantine of its parts and the servers that are left.
func MayRerun(route relay.Route, rerun Rerun) bool {
	if rerun.Kind == RerunStepUp {
		return mayStepUp(route, rerun)
	}
	return MayRetry(route, rerun.Ending, rerun.Attempts, rerun.Left)
}

// mayStepUp reports whether the answer may be dropped: the model's route has larger ones, the request may run again, the
// caller has none of the answer, the route allows another attempt, and at least half of the objective is left.
func mayStepUp(route relay.Route, rerun Rerun) bool {
	if !route.IsRepeatable() || !route.IsCascade() || rerun.ResponseStarted {
		return false
	}
	return rerun.Attempts.Run < route.Attempts && rerun.Left >= route.Objective/2
}
