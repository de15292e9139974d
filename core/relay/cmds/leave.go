package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// Leave notes that the instance is shutting down.
type Leave struct{}

// Apply returns a state that isn't ready any more.
func (Leave) Apply(s relay.State, _ time.Time) (relay.State, []relay.Effect) {
	if s.Leaving {
		return s, nil
	}
	return s.WithLeaving(), []relay.Effect{relay.Decided{What: "Leaving", Subject: string(s.Self.Name), Revision: s.Revision}}
}
