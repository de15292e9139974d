package cmds

import (
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// MarkReplaced records that another process answers at an instance's address, so the instance is gone.
type MarkReplaced struct {
	ID value.InstanceID
}

// Apply marks the instance as gone; it is idempotent. This instance never marks itself, since it is running.
func (c MarkReplaced) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	known, ok := s.Instance(c.ID)
	if !ok || known.State == value.InstanceGone || c.ID == s.Self.ID {
		return s, nil
	}
	return updateAndDisseminate(s, fleet.Merge(known, known.WithState(value.InstanceGone), now))
}
