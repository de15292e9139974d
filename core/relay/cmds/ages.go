package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// LearnAges takes in how old the orders of roll-outs are that were given before this instance started.
type LearnAges struct {
	OrderAges []relay.OrderAge
	// From names who told it.
	From string
}

// Apply counts the orders' time from when they were given.
func (c LearnAges) Apply(s relay.State, now time.Time) (relay.State, []relay.Effect) {
	next := s.WithOrderAges(c.OrderAges, now)
	var lines []relay.Effect
	for n, p := range next.Plans() {
		if was, _ := s.Plan(n); p.AgeKnown && !was.AgeKnown {
			lines = append(lines, relay.Decided{
				What: "RollOutAgeLearned", Subject: string(n), Revision: p.Order.Revision,
				Detail: c.From + " age " + now.Sub(p.Seen).Round(time.Millisecond).String(),
			})
		}
	}
	return next, lines
}
