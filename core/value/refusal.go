package value

import (
	"fmt"
	"time"
)

// Reason is the machine-readable reason for a decision or a refusal.
type Reason string

// The reasons for refusing a request.
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
	ReasonBillNotStored   Reason = "BillNotKept"
	ReasonLeaving         Reason = "InstanceLeaving"
	ReasonBackend         Reason = "BackendFailed"
	ReasonCanceled        Reason = "CallerGone"
	ReasonBadRequest      Reason = "BadRequest"
	ReasonNoConfiguration Reason = "NoConfiguration"
)

// Refusal is the error that ends a request without an answer.
type Refusal struct {
	Reason Reason
	// NotRun is true only when no attempt was dispatched to a backend server.
	NotRun bool
	// RetryAfter is how long the caller should wait before a retry; zero means no advice.
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

// WithNotRun returns a copy that states whether the request was certainly not dispatched.
func (r Refusal) WithNotRun(notRun bool) Refusal {
	r.NotRun = notRun
	return r
}
