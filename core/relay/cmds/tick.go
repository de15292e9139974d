package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/relay"
)

// Tick removes entries, and uses outdated ones, whose grace period has ended.
type Tick struct{}

// Apply removes the servers whose entries vanished in a store outage and weren't written again
// within the grace period after it, uses outdated entries after which nothing newer was written, and logs how many.
func (Tick) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	updated := state.WithoutExpired(now)
	var decisions []relay.Effect
	if used := state.OutdatedEntries() - updated.OutdatedEntries(); used > 0 {
		decisions = append(decisions, relay.RecordDecision{
			Event: "OutdatedEntriesUsed", Revision: state.Revision, Detail: strconv.Itoa(used) + " servers have written nothing newer",
		})
	}
	if expired := state.MissingEntries() - updated.MissingEntries(); expired > 0 {
		decisions = append(decisions, relay.RecordDecision{
			Event: "ServersGone", Revision: state.Revision, Detail: strconv.Itoa(expired) + " entries were not written again after the store outage",
		})
	}
	return updated, decisions
}
