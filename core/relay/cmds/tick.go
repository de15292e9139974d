package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/relay"
)

// Tick removes entries whose grace period has ended.
type Tick struct{}

// Apply removes the servers whose entries vanished in a store outage and weren't written again
// within the grace period after it, and logs how many.
func (Tick) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	updated := state.WithoutExpired(now)
	if expired := state.MissingEntries() - updated.MissingEntries(); expired > 0 {
		return updated, []relay.Effect{relay.RecordDecision{
			Event: "ServersGone", Revision: state.Revision, Detail: strconv.Itoa(expired) + " entries were not written again after the store outage",
		}}
	}
	return updated, nil
}
