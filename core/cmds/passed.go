package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Passed notes that news of the instances went out in one message.
type Passed struct {
	IDs []value.InstanceID
}

// Apply counts the news down.
func (c Passed) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	for _, id := range c.IDs {
		if left, ok := s.Rumours().Get(id); ok {
			s = s.WithPendingUpdate(id, left-1)
		}
	}
	return s, nil
}
