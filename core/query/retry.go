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
