package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// Recall takes in how old the orders of roll-outs are that were given before this instance started.
type Recall struct {
	Sightings []relay.Sighting
	// From names who told it.
	From string
}

// Apply counts the orders' time from when they were given.
func (c Recall) Apply(s relay.State, now time.Time) (relay.State, []relay.Effect) {
	next := s.WithSightings(c.Sightings, now)
	var lines []relay.Effect
	for n, p := range next.Plans() {
		if was, _ := s.Plan(n); p.Witnessed && !was.Witnessed {
			lines = append(lines, relay.Decided{
				What: "RollOutRecalled", Subject: string(n), Revision: p.Order.Revision,
				Detail: c.From + " age " + now.Sub(p.Seen).Round(time.Millisecond).String(),
			})
		}
	}
	return next, lines
}
