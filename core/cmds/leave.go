package cmds

import (
	"time"

	"endivehitch/core/state"
)

// Leave marks the instance as shutting down.
type Leave struct{}

// Apply sends a departure notice when the instance starts to leave; a repeated command does nothing.
func (Leave) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	if s.Leaving {
		return s, nil
	}
	return s.WithLeaving(), []state.Effect{
		state.RecordDecision{Event: "InstanceLeaving", Subject: string(s.Self.ID)},
		state.SendDepartureNotice{},
	}
}
