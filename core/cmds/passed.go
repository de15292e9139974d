package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Passed records that one message carried the updates on the instances.
type Passed struct {
	IDs []value.InstanceID
}

// Apply lowers the number of messages in which each update is still to be sent.
func (c Passed) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	for _, id := range c.IDs {
		if sends, ok := s.Rumours().Get(id); ok {
			s = s.WithPendingUpdate(id, sends-1)
		}
	}
	return s, nil
}
