package query

import (
	"time"

	"endivehitch/core/value"
)

// FailedAttempt describes a failed attempt.
type FailedAttempt struct {
	// Sent is false if nothing of the request reached the backend server.
	Sent bool
	// AnswerStarted is true if part of the answer has been sent to the caller.
	AnswerStarted bool
	// Attempts counts the attempts so far, including the failed one.
	Attempts int
}

// CanRetry reports whether the request may be retried after the failure.
func CanRetry(k value.Kind, r value.Request, f FailedAttempt, now time.Time) bool {
	if f.AnswerStarted {
		return false
	}
	if f.Sent && !k.Idempotent {
		return false
	}
	if f.Attempts >= max(k.MaxAttempts, 1) {
		return false
	}
	return r.Deadline.After(now)
}

// UsesRetryBudget reports whether a retry after the failure counts against the retry budget. It does
// not if the failed attempt never reached a backend server, because that put no load on one.
func UsesRetryBudget(f FailedAttempt) bool {
	return f.Sent
}

// MeansEarlierRun reports whether the reason of a refusal means that an earlier request with the
// same idempotency key was or may have been run.
func MeansEarlierRun(reason value.Reason) bool {
	return reason == value.ReasonStillRunning || reason == value.ReasonOutcomeUnknown
}
