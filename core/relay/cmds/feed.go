package cmds

import (
	"fmt"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
)

// ApplyFeed applies a feed from the store or from another instance; a feed that is not newer than
// the state, or leaves a gap after it, adds no entries.
type ApplyFeed struct {
	Feed relay.Feed
	// From names the sender.
	From string
	// FromStore is set when this instance read the feed from the store itself.
	FromStore bool
	// Grace is how long after a store outage a server stays in use whose entry vanished during the
	// outage.
	Grace time.Duration
}

// Apply returns the state that includes the feed, and a log line for each change, for each evacuation that
// is ordered or withdrawn, and for the end of an outage.
func (c ApplyFeed) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	var decisions []relay.Effect
	isCurrent := c.FromStore || c.Feed.IsCurrent()
	if !isCurrent && state.Revision == 0 {
		return state, nil
	}
	if isCurrent {
		state = state.WithAnswerReceived(now)
	}
	if c.FromStore && !state.StoreUnreachableSince.IsZero() {
		decisions = append(decisions, relay.RecordDecision{
			Event: "StoreRegained", Revision: state.Revision, Detail: "after " + now.Sub(state.StoreUnreachableSince).Round(time.Millisecond).String(),
		})
		state = state.WithStoreRecovered(now)
	}
	if c.FromStore {
		state = state.WithStoreAnswered(now)
	} else if c.Feed.Served > 0 {
		state = state.WithStoreAnswered(now.Add(-c.Feed.Served))
	}
	if !c.FromStore && c.Feed.Back > 0 {
		state = state.WithReportedRecovery(now.Add(-c.Feed.Back))
	}
	updated := state.WithFeed(c.Feed, now, c.Grace)
	return updated, append(decisions, c.decisions(state, updated)...)
}

// decisions returns the log lines about the feed: one for a new configuration, and one for each
// other change or, for a full snapshot, one for all.
func (c ApplyFeed) decisions(before, after relay.State) []relay.Effect {
	var decisions []relay.Effect
	if after.ConfigRevision != before.ConfigRevision {
		decisions = append(decisions, relay.RecordDecision{
			Event: "ConfigInstalled", Subject: fmt.Sprint(after.Config.Version), Revision: after.ConfigRevision, Detail: c.From,
		})
	}
	decisions = append(decisions, c.evacuationDecisions(before, after)...)
	if c.Feed.Whole {
		return append(decisions, relay.RecordDecision{Event: "ImageRead", Revision: after.Revision, Detail: c.From})
	}
	for _, change := range c.Feed.Changes {
		if decision, ok := decisionOf(after, change); ok && change.Revision > before.Revision {
			decision.Revision, decision.Detail = change.Revision, c.From+decision.Detail
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// evacuationDecisions returns a log line for each evacuation that the feed has ordered or withdrawn, also if it is a full
// snapshot.
func (c ApplyFeed) evacuationDecisions(before, after relay.State) []relay.Effect {
	var decisions []relay.Effect
	for _, e := range after.Evacuations() {
		if !place.IsEvacuated(before, e.Domain) {
			decisions = append(decisions, relay.RecordDecision{
				Event: "EvacuationOrdered", Subject: string(e.Domain), Revision: e.Revision, Detail: c.From,
			})
		}
	}
	for _, e := range before.Evacuations() {
		if !place.IsEvacuated(after, e.Domain) {
			age := place.ReopenedAt(after, e.Domain).Sub(e.Since).Round(time.Millisecond)
			decisions = append(decisions, relay.RecordDecision{
				Event: "EvacuationEnded", Subject: string(e.Domain), Revision: e.Revision, Detail: c.From + " after " + age.String(),
			})
		}
	}
	return decisions
}

// decisionOf returns the log line about one change that has led to the state; it reports false for an entry that isn't logged.
func decisionOf(after relay.State, change relay.Change) (relay.RecordDecision, bool) {
	switch entry := change.Entry; {
	case entry.Server != nil && after.HasOutdatedEntry(change.Key):
		return relay.RecordDecision{
			Event: "EntryOutdated", Subject: change.Key,
			Detail: fmt.Sprintf(" number %d of the server that started at %s", entry.Server.Sequence, entry.Server.Born.UTC().Format(time.RFC3339Nano)),
		}, true
	case change.Gone:
		return relay.RecordDecision{Event: "EntryGone", Subject: change.Key}, true
	case entry.Server != nil && entry.Server.Draining:
		return relay.RecordDecision{Event: "ServerDraining", Subject: string(entry.Server.ID)}, true
	case entry.Server != nil:
		return relay.RecordDecision{Event: "ServerReady", Subject: string(entry.Server.ID), Detail: " " + string(entry.Server.Service) + " " + string(entry.Server.Release)}, true
	case entry.RollOut != nil:
		return relay.RecordDecision{Event: "RollOutOrdered", Subject: string(entry.RollOut.Service), Detail: " " + string(entry.RollOut.Target)}, true
	case entry.Progress != nil:
		return relay.RecordDecision{Event: "RollOutProgress", Subject: string(entry.Progress.Service), Detail: fmt.Sprintf(" %s phase %d", entry.Progress.Target, entry.Progress.Phase)}, true
	case entry.Duty != nil:
		return relay.RecordDecision{Event: "RollOutHolder", Subject: string(entry.Duty.Service), Detail: " " + string(entry.Duty.Holder)}, true
	}
	var none relay.RecordDecision
	return none, false
}
