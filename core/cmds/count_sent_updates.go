package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// CountSentUpdates records that one gossip message carried the state updates of the listed instances.
type CountSentUpdates struct {
	IDs []value.InstanceID
}

// Apply subtracts one from the number of messages that are still to carry each update.
func (c CountSentUpdates) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	for _, id := range c.IDs {
		if sends, ok := s.PendingUpdates().Get(id); ok {
			s = s.WithPendingUpdate(id, sends-1)
		}
	}
	return s, nil
}
