package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// CountSentUpdates records that one message carried the updates on the instances.
type CountSentUpdates struct {
	IDs []value.InstanceID
}

// Apply lowers the number of messages in which each update is still to be sent.
func (c CountSentUpdates) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	for _, id := range c.IDs {
		if sends, ok := s.PendingUpdates().Get(id); ok {
			s = s.WithPendingUpdate(id, sends-1)
		}
	}
	return s, nil
}
