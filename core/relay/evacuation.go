package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Evacuation is the operators' order that no request may reach a server of a failure domain; it holds until its entry is
// removed.
type Evacuation struct {
	Domain FailureDomain
	// Revision is the store revision of the order.
	Revision int64
	// Since is when this instance learned of the order.
	Since time.Time
}

// WithStart returns an evacuation that this instance learned of at the time.
func (e Evacuation) WithStart(at time.Time) Evacuation {
	e.Since = at
	return e
}

// Evacuations returns the evacuations in force, sorted by failure domain; the slice must not be changed.
func (s State) Evacuations() []Evacuation {
	return s.evacuations
}

// ReopenedAt returns when this instance learned that the last evacuation of the failure domain was withdrawn, or the zero
// time if it knows of none.
func (s State) ReopenedAt(domain FailureDomain) time.Time {
	return s.reopened[domain]
}

// withReopened returns a state in which an evacuation of the failure domain was withdrawn at the time.
func (s State) withReopened(domain FailureDomain, at time.Time) State {
	reopened := maps.Clone(s.reopened)
	if reopened == nil {
		reopened = make(map[FailureDomain]time.Time)
	}
	reopened[domain] = at
	s.reopened = reopened
	return s
}

// withEvacuationStart returns the change with the time at which the instance learned of the evacuation, if it is one. An
// order that is given again keeps the time.
func (c Change) withEvacuationStart(previous Change, at time.Time) Change {
	if c.Entry.Evacuation == nil {
		return c
	}
	if known := previous.Entry.Evacuation; known != nil {
		at = known.Since
	}
	started := c.Entry.Evacuation.WithStart(at)
	c.Entry.Evacuation = &started
	return c
}

func sortEvacuations(list []Evacuation) {
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
}
