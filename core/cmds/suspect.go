package cmds

import (
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Suspect records that an instance answered neither a direct nor an indirect probe.
type Suspect struct {
	ID value.InstanceID
	// Incarnation is the one that was probed. An instance with a newer one has refuted the suspicion.
	Incarnation int64
}

// Apply marks a live instance as suspected, and one that was leaving as gone.
func (c Suspect) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	known, ok := s.Instance(c.ID)
	if !ok || known.Incarnation != c.Incarnation || c.ID == s.Self.ID {
		return s, nil
	}
	next := value.InstanceSuspected
	if known.State == value.InstanceLeaving {
		next = value.InstanceGone
	}
	update := known.WithState(next)
	if !fleet.Supersedes(update, known) {
		return s, nil
	}
	return updateAndDisseminate(s, fleet.Merge(known, update, now))
}
