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
	if c.Direct {
		s = s.WithBack(now)
	}
	if !c.Direct && c.Feed.Back > 0 {
		s = s.WithBackSince(now.Add(-c.Feed.Back))
	}
	next := s.WithFeed(c.Feed, now, c.Grace)
	return next, c.lines(s, next)
}

func (c Learn) lines(was, now relay.State) []relay.Effect {
	var lines []relay.Effect
	add := func(what, subject, detail string) {
		lines = append(lines, relay.Decided{What: what, Subject: subject, Revision: now.Revision, Detail: detail})
	}
	if now.ConfigRevision != was.ConfigRevision {
		add("ConfigInstalled", fmt.Sprint(now.Config.Version), "from "+c.From)
	}
	for _, change := range c.Feed.Changes {
		switch e := change.Entry; {
		case c.Feed.Whole && !change.Gone:
		case change.Gone:
			add("EntryGone", change.Key, "from "+c.From)
		case e.Server != nil && e.Server.Draining:
			add("ServerDraining", string(e.Server.ID), "from "+c.From)
		case e.Server != nil:
			add("ServerReady", string(e.Server.ID), string(e.Server.Service)+" "+string(e.Server.Release))
		case e.RollOut != nil:
			add("RollOutOrdered", string(e.RollOut.Service), string(e.RollOut.Target))
		case e.Progress != nil:
			add("RollOutProgress", string(e.Progress.Service), fmt.Sprintf("%s phase %d", e.Progress.Target, e.Progress.Phase))
		}
	}
	return lines
}
