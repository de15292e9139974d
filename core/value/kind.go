package value

import "time"

// Priority orders kinds of request when capacity is short.
type Priority string

// The priorities, from the first to be served to the last.
const (
	PriorityStatus      Priority = "Status"
	PriorityInteractive Priority = "Interactive"
	PriorityDraft       Priority = "Draft"
)

// Priorities lists the priorities from the first to be served to the last.
var priorities = [...]Priority{PriorityStatus, PriorityInteractive, PriorityDraft}

// Rank returns the priority's place in the order, from 0; unknown ones come last.
func (p Priority) Rank() int {
	for i, q := range priorities {
		if p == q {
			return i
		}
	}
	return len(priorities)
}

// Valid reports whether the priority is a known one.
func (p Priority) Valid() bool {
	return p.Rank() < len(priorities)
}

// Kind is a kind of request with the quality that its answers must reach.
type Kind struct {
	Name KindName
	// Model answers the kind; it is empty where a plain service does.
	Model ModelName
	// Service answers the kind; it is empty where a model does.
	Service ServiceName
	// QualityTarget is the least share of acceptable answers, from 0 to 1.
	QualityTarget float64
	Priority      Priority
	// Idempotent requests may be run more than once: retried, hedged or shared.
	Idempotent bool
	// Deadline is how long a caller waits when it states no deadline of its own.
	Deadline time.Duration
	// MaxTokens bounds the generated tokens of one answer.
	MaxTokens int
	// Share lets identical questions in flight use one run.
	Share bool
	// MaxAttempts bounds the runs of one request, the first included.
	MaxAttempts int
	// Judge assesses answers of a cascade's first step; the zero value means that there is none.
	Judge Judge
	// RatingFloor is the lowest sampling rate of the kind's answers, from 0 to 1; zero means unknown.
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
