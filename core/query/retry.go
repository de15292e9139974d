package query

import (
	"time"

	"endivehitch/core/value"
)

// Failed describes a failed attempt.
type Failed struct {
	// Sent is false if nothing of the request reached the backend server.
	Sent bool
	// Begun is true if part of the answer has been sent to the caller.
	Begun bool
	// Attempts counts the attempts so far, including the failed one.
	Attempts int
}

// Retry reports whether the request may be retried after the failure.
func Retry(k value.Kind, r value.Request, f Failed, now time.Time) bool {
	if f.Begun {
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

// RetryCosts reports whether a retry after the failure counts against the retry budget. An attempt
// that never reached a backend server does not, because it put no load on one.
func RetryCosts(f Failed) bool {
	return f.Sent
}

// RanBefore reports whether the reason of a refusal means that an earlier request with the same
// idempotency key was or may have been run.
func RanBefore(reason value.Reason) bool {
	return reason == value.ReasonStillRunning || reason == value.ReasonOutcomeUnknown
}
