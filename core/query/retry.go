package query

import (
	"time"

	"endivehitch/core/value"
)

// Failed is what is known of a run that failed.
type Failed struct {
	// Sent is false when nothing reached the backend server.
	Sent bool
	// Begun is true once part of the answer has gone to the caller.
	Begun bool
	// Attempts counts the runs so far, the failed one included.
	Attempts int
}

// Retry reports whether the request may be run again after a failure.
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

// RetryCosts reports whether a retry after the failure takes from the retry budget: what never
// reached a backend server has put no load on one.
func RetryCosts(f Failed) bool {
	return f.Sent
}

// RanBefore reports whether a refusal for the reason speaks of an earlier run under the same key.
func RanBefore(why value.Reason) bool {
	return why == value.ReasonStillRunning || why == value.ReasonOutcomeUnknown
}
