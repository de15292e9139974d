package value

import "time"

// Priority orders kinds of request when capacity is short.
type Priority string

// The priorities, highest first.
const (
	PriorityStatus      Priority = "Status"
	PriorityInteractive Priority = "Interactive"
	PriorityDraft       Priority = "Draft"
)

// priorities lists the priorities, highest first.
var priorities = [...]Priority{PriorityStatus, PriorityInteractive, PriorityDraft}

// Rank returns the priority's rank, 0 for the highest; an unknown priority ranks last.
func (p Priority) Rank() int {
	for i, q := range priorities {
		if p == q {
			return i
		}
	}
	return len(priorities)
}

// IsValid reports whether the priority is one of the defined ones.
func (p Priority) IsValid() bool {
	return p.Rank() < len(priorities)
}

// Kind is a kind of request: what answers it, and the quality and limits that apply.
type Kind struct {
	Name KindName
	// Model answers the kind; it is empty where a plain service does.
	Model ModelName
	// Service answers the kind; it is empty where a model does.
	Service ServiceName
	// QualityTarget is the least share of acceptable answers, from 0 to 1.
	QualityTarget float64
	Priority      Priority
	// Idempotent requests may be executed more than once: retried after dispatch, hedged or answered by
	// a cascade. Only answers to idempotent requests may be shared.
	Idempotent bool
	// Deadline is the time limit of a request whose caller states none.
	Deadline time.Duration
	// MaxTokens bounds the generated tokens of one answer.
	MaxTokens int
	// Share allows identical requests in flight to share one attempt.
	Share bool
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// Judge assesses answers of a cascade's first step; the zero value means that there is no judge.
	Judge Judge
	// RatingFloor is the lowest rate, from 0 to 1, at which the rating service samples the kind's
	// answers; zero means unknown.
	RatingFloor float64
}

// WithQualityTarget returns a copy with another quality target.
func (k Kind) WithQualityTarget(target float64) Kind {
	k.QualityTarget = target
	return k
}

// WithDeadline returns a copy with another default deadline.
func (k Kind) WithDeadline(deadline time.Duration) Kind {
	k.Deadline = deadline
	return k
}

// WithPriority returns a copy with another priority.
func (k Kind) WithPriority(p Priority) Kind {
	k.Priority = p
	return k
}
