package proof

import (
	"slices"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
)

// Run is one run as the backend server saw it.
type Run struct {
	Request value.RequestID
	Key     value.IdempotencyKey
	Server  value.ServerID
	Version value.VersionKey
	At      time.Time
}

// Reply is what one caller was told.
type Reply struct {
	Request value.Request
	At      time.Time
	Text    string
	// Ended is set once the caller learned that the answer is whole.
	Ended bool
	// NotRun is set where the caller was refused with the claim that nothing ran.
	NotRun bool
	// Cut is set where a graceful shutdown ended the connection first.
	Cut bool
}

// Event says that something came into force for a subject.
type Event[K ~string] struct {
	Subject  K
	Revision int64
	At       time.Time
}

// Facts is what callers, backend servers, operators and the store saw of one cell; it is immutable.
type Facts struct {
	Runs      []Run
	Replies   []Reply
	Segments  []ledger.Segment
	Accepted  []Event[value.ChangeID]
	InForce   []Event[value.InstanceID]
	Withdrawn []Event[value.VersionKey]
	Leaving   []Event[value.ServerID]
	// Ended lists the instances that were killed or have left.
	Ended []value.InstanceID
	// Healed is when the last fault ended.
	Healed time.Time
}

// WithRun returns facts with one more run.
func (f Facts) WithRun(r Run) Facts {
	f.Runs = append(slices.Clip(f.Runs), r)
	return f
}

// WithReply returns facts with one more reply.
func (f Facts) WithReply(r Reply) Facts {
	f.Replies = append(slices.Clip(f.Replies), r)
	return f
}

// WithSegments returns facts with what the store holds of bills.
func (f Facts) WithSegments(s []ledger.Segment) Facts {
	f.Segments = s
	return f
}

// WithAccepted returns facts with one more accepted configuration.
func (f Facts) WithAccepted(e Event[value.ChangeID]) Facts {
	f.Accepted = append(slices.Clip(f.Accepted), e)
	return f
}

// WithInForce returns facts with one more configuration in force at an instance.
func (f Facts) WithInForce(e Event[value.InstanceID]) Facts {
	f.InForce = append(slices.Clip(f.InForce), e)
	return f
}

// WithWithdrawn returns facts with one more withdrawn version.
func (f Facts) WithWithdrawn(e Event[value.VersionKey]) Facts {
	f.Withdrawn = append(slices.Clip(f.Withdrawn), e)
	return f
}

// WithLeaving returns facts with one more backend server that is leaving.
func (f Facts) WithLeaving(e Event[value.ServerID]) Facts {
	f.Leaving = append(slices.Clip(f.Leaving), e)
	return f
}

// WithEnded returns facts with one more instance that is no longer there.
func (f Facts) WithEnded(id value.InstanceID) Facts {
	f.Ended = append(slices.Clip(f.Ended), id)
	return f
}

// WithHealed returns facts whose last fault ended at the time or later.
func (f Facts) WithHealed(at time.Time) Facts {
	if at.After(f.Healed) {
		f.Healed = at
	}
	return f
}
