package cmds

import (
	"fmt"
	"time"

	"endivehitch/core/relay"
)

// Learn takes in what the store or another instance told; older news changes nothing.
type Learn struct {
	Feed relay.Feed
	// From names who told it.
	From string
	// Direct is set when the store itself told it.
	Direct bool
	// Grace is how long a live server that vanished while the store was away still counts.
	Grace time.Duration
}

// Apply returns the state that includes the news, and a line for each change of what is in force.
func (c Learn) Apply(s relay.State, now time.Time) (relay.State, []relay.Effect) {
	var lines []relay.Effect
	if c.Direct && !s.Away.IsZero() {
		lines = append(lines, relay.Decided{
			What: "StoreRegained", Revision: s.Revision, Detail: "after " + now.Sub(s.Away).Round(time.Millisecond).String(),
		})
		s = s.WithStoreRecovered(now)
	}
	if c.Direct {
		s = s.WithStoreAnswered(now)
	} else if c.Feed.Served > 0 {
		s = s.WithStoreAnswered(now.Add(-c.Feed.Served))
	}
	if !c.Direct && c.Feed.Back > 0 {
		s = s.WithReportedRecovery(now.Add(-c.Feed.Back))
	}
	next := s.WithFeed(c.Feed, now, c.Grace)
	return next, append(lines, c.lines(s, next)...)
}

// lines tells of what came into force; a whole image is told of by its configuration alone.
func (c Learn) lines(was, now relay.State) []relay.Effect {
	var lines []relay.Effect
	if now.ConfigRevision != was.ConfigRevision {
		lines = append(lines, relay.Decided{
			What: "ConfigInstalled", Subject: fmt.Sprint(now.Config.Version), Revision: now.ConfigRevision, Detail: c.From,
		})
	}
	if c.Feed.Whole {
		return append(lines, relay.Decided{What: "ImageRead", Revision: now.Revision, Detail: c.From})
	}
	for _, change := range c.Feed.Changes {
		if d, ok := told(change); ok && change.Revision > was.Revision {
			d.Revision, d.Detail = change.Revision, c.From+d.Detail
			lines = append(lines, d)
		}
	}
	return lines
}

// told returns the line about one change.
func told(c relay.Change) (relay.Decided, bool) {
	switch e := c.Entry; {
	case c.Gone:
		return relay.Decided{What: "EntryGone", Subject: c.Key}, true
	case e.Server != nil && e.Server.Draining:
		return relay.Decided{What: "ServerDraining", Subject: string(e.Server.ID)}, true
	case e.Server != nil:
		return relay.Decided{What: "ServerReady", Subject: string(e.Server.ID), Detail: " " + string(e.Server.Service) + " " + string(e.Server.Release)}, true
	case e.RollOut != nil:
		return relay.Decided{What: "RollOutOrdered", Subject: string(e.RollOut.Service), Detail: " " + string(e.RollOut.Target)}, true
	case e.Progress != nil:
		return relay.Decided{What: "RollOutProgress", Subject: string(e.Progress.Service), Detail: fmt.Sprintf(" %s phase %d", e.Progress.Target, e.Progress.Phase)}, true
	case e.Duty != nil:
		return relay.Decided{What: "RollOutHolder", Subject: string(e.Duty.Service), Detail: " " + string(e.Duty.Holder)}, true
	}
	var none relay.Decided
	return none, false
}
