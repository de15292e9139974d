package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// Leave notes that the instance is shutting down.
type Leave struct {
	// Within is how long the instance stays at most.
	Within time.Duration
}

// Apply returns a state that isn't ready any more.
func (c Leave) Apply(s relay.State, now time.Time) (relay.State, []relay.Effect) {
	if s.Leaving {
		return s, nil
	}
	return s.WithLeaving(now, now.Add(c.Within)), []relay.Effect{relay.Decided{What: "Leaving", Subject: string(s.Self.Name), Revision: s.Revision}}
}
