package faults

import (
	"slices"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
)

// Attempt is one attempt to run a request, as the backend server received it.
type Attempt struct {
	Request   value.RequestID
	Key       value.IdempotencyKey
	Server    value.ServerID
	Version   value.VersionKey
	StartedAt time.Time
}

// Reply is what one caller received for its request.
type Reply struct {
	Request value.Request
	SentAt  time.Time
	Text    string
	// Complete is set once the caller received the end of the answer.
	Complete bool
	// NotRun is set if the request was refused with the claim that it was not run.
	NotRun bool
	// CutOff is set if a graceful shutdown closed the connection before the answer was complete.
	CutOff bool
}

// Event is a change that took effect for a subject, such as a revision at an instance.
type Event[K ~string] struct {
	Subject  K
	Revision int64
	At       time.Time
}

// Observations is what callers, backend servers, operators and the store observed while one cell
// ran. It is immutable.
type Observations struct {
	Attempts     []Attempt
	Replies      []Reply
	BillSegments []ledger.Segment
	Accepted     []Event[value.ChangeID]
	InForce      []Event[value.InstanceID]
	Withdrawn    []Event[value.VersionKey]
	Leaving      []Event[value.ServerID]
	// EndedInstances lists the instances that were killed or have left.
	EndedInstances []value.InstanceID
	// FaultsEndedAt is when the last fault ended.
	FaultsEndedAt time.Time
}

// WithAttempt returns a copy with the attempt added.
func (f Observations) WithAttempt(r Attempt) Observations {
	f.Attempts = append(slices.Clip(f.Attempts), r)
	return f
}

// WithReply returns a copy with the reply added.
func (f Observations) WithReply(r Reply) Observations {
	f.Replies = append(slices.Clip(f.Replies), r)
	return f
}

// WithBillSegments returns a copy with the bill segments that the store holds.
func (f Observations) WithBillSegments(s []ledger.Segment) Observations {
	f.BillSegments = s
	return f
}

// WithAccepted returns a copy with the configuration added that the store accepted.
func (f Observations) WithAccepted(e Event[value.ChangeID]) Observations {
	f.Accepted = append(slices.Clip(f.Accepted), e)
	return f
}

// WithInForce returns a copy with the configuration added that came into force at an instance.
func (f Observations) WithInForce(e Event[value.InstanceID]) Observations {
	f.InForce = append(slices.Clip(f.InForce), e)
	return f
}

// WithWithdrawn returns a copy with the withdrawn version added.
func (f Observations) WithWithdrawn(e Event[value.VersionKey]) Observations {
	f.Withdrawn = append(slices.Clip(f.Withdrawn), e)
	return f
}

// WithLeaving returns a copy with the backend server added that is leaving.
func (f Observations) WithLeaving(e Event[value.ServerID]) Observations {
	f.Leaving = append(slices.Clip(f.Leaving), e)
	return f
}

// WithEndedInstance returns a copy with the instance added to the ended ones.
func (f Observations) WithEndedInstance(id value.InstanceID) Observations {
	f.EndedInstances = append(slices.Clip(f.EndedInstances), id)
	return f
}

// WithFaultsEndedAt returns a copy whose last fault ended at the given time, unless a later end is
// recorded.
func (f Observations) WithFaultsEndedAt(at time.Time) Observations {
	if at.After(f.FaultsEndedAt) {
		f.FaultsEndedAt = at
	}
	return f
}
