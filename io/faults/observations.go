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

// Observations is what callers, backend servers, operators and the store observed during the run of
// one Cell of the fault matrix. It is immutable.
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
func (o Observations) WithAttempt(a Attempt) Observations {
	o.Attempts = append(slices.Clip(o.Attempts), a)
	return o
}

// WithReply returns a copy with the reply added.
func (o Observations) WithReply(r Reply) Observations {
	o.Replies = append(slices.Clip(o.Replies), r)
	return o
}

// WithBillSegments returns a copy with the bill segments that the store holds.
func (o Observations) WithBillSegments(s []ledger.Segment) Observations {
	o.BillSegments = s
	return o
}

// WithAccepted returns a copy with the configuration added that the store accepted.
func (o Observations) WithAccepted(e Event[value.ChangeID]) Observations {
	o.Accepted = append(slices.Clip(o.Accepted), e)
	return o
}

// WithInForce returns a copy with the configuration added that came into force at an instance.
func (o Observations) WithInForce(e Event[value.InstanceID]) Observations {
	o.InForce = append(slices.Clip(o.InForce), e)
	return o
}

// WithWithdrawn returns a copy with the withdrawn version added.
func (o Observations) WithWithdrawn(e Event[value.VersionKey]) Observations {
	o.Withdrawn = append(slices.Clip(o.Withdrawn), e)
	return o
}

// WithLeaving returns a copy with the backend server added that is leaving.
func (o Observations) WithLeaving(e Event[value.ServerID]) Observations {
	o.Leaving = append(slices.Clip(o.Leaving), e)
	return o
}

// WithEndedInstance returns a copy with the instance added to the ended ones.
func (o Observations) WithEndedInstance(id value.InstanceID) Observations {
	o.EndedInstances = append(slices.Clip(o.EndedInstances), id)
	return o
}

// WithFaultsEndedAt returns a copy whose last fault ended at the given time, unless a later end is
// recorded.
func (o Observations) WithFaultsEndedAt(at time.Time) Observations {
	if at.After(o.FaultsEndedAt) {
		o.FaultsEndedAt = at
	}
	return o
}
