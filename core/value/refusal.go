package value

import (
	"fmt"
	"time"
)

// Reason is a machine-readable reason for a decision or a refusal.
type Reason string

// The reasons for refusals.
const (
	ReasonUnknownAccount  Reason = "UnknownAccount"
	ReasonKindNotAllowed  Reason = "KindNotAllowed"
	ReasonNoVersion       Reason = "NoVersionAllowed"
	ReasonNoServer        Reason = "NoBackendServer"
	ReasonOverloaded      Reason = "Overloaded"
	ReasonQueueFull       Reason = "QueueFull"
	ReasonDeadline        Reason = "DeadlineExceeded"
	ReasonKeyRequired     Reason = "IdempotencyKeyRequired"
	ReasonKeyReused       Reason = "IdempotencyKeyReused"
	ReasonStillRunning    Reason = "StillRunning"
	ReasonOutcomeUnknown  Reason = "OutcomeUnknown"
	ReasonJournalDown     Reason = "JournalUnavailable"
	ReasonBillNotKept     Reason = "BillNotKept"
	ReasonLeaving         Reason = "InstanceLeaving"
	ReasonBackend         Reason = "BackendFailed"
	ReasonCanceled        Reason = "CallerGone"
	ReasonBadRequest      Reason = "BadRequest"
	ReasonNoConfiguration Reason = "NoConfiguration"
)

// Refusal is the error by which a request ends without an answer.
type Refusal struct {
	Reason Reason
	// NotRun is true only when nothing was dispatched to a backend server.
	NotRun bool
	// RetryAfter is how long the caller should wait; zero means no advice.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason and the detail.
func (r Refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}

// WithDetail returns a copy with another detail.
func (r Refusal) WithDetail(detail string) Refusal {
	r.Detail = detail
	return r
}

// WithNotRun returns a copy that says whether nothing was dispatched.
func (r Refusal) WithNotRun(notRun bool) Refusal {
	r.NotRun = notRun
	return r
}
