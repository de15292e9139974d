package cmds

import (
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Suspect notes that an instance answered neither a direct nor an indirect probe.
type Suspect struct {
	ID value.InstanceID
	// Incarnation is the one that was probed; a newer one has refuted already.
	Incarnation int64
}

// Apply suspects a live instance; one that was leaving anyway is taken for gone.
func (c Suspect) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	known, ok := s.Instance(c.ID)
	if !ok || known.Incarnation != c.Incarnation || c.ID == s.Self.ID {
		return s, nil
	}
	next := value.InstanceSuspected
	if known.State == value.InstanceLeaving {
		next = value.InstanceGone
	}
	news := known.WithState(next)
	if !fleet.Supersedes(news, known) {
		return s, nil
	}
	return settle(s, fleet.Merge(known, news, now))
}
