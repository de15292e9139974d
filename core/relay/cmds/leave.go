package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// Leave starts the instance's shutdown.
type Leave struct {
	// Within bounds the time until the instance has left.
	Within time.Duration
}

// Apply returns a state in which the instance is leaving, and logs it; if it already is, nothing
// changes.
func (c Leave) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	if state.Leaving {
		return state, nil
	}
	return state.WithLeaving(now, now.Add(c.Within)), []relay.Effect{relay.RecordDecision{Event: "Leaving", Subject: string(state.Self.Name), Revision: state.Revision}}
}
