package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// LearnAges takes in the ages, reported by another instance, of roll-out orders whose age is
// unknown.
type LearnAges struct {
	OrderAges []relay.OrderAge
	// From names the reporting instance.
	From string
}

// Apply returns the state with the reported ages, and a log line for each one that was unknown
// before.
func (c LearnAges) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	updated := state.WithOrderAges(c.OrderAges, now)
	var decisions []relay.Effect
	for n, p := range updated.Plans() {
		if before, _ := state.Plan(n); p.AgeKnown && !before.AgeKnown {
			decisions = append(decisions, relay.Decided{
				What: "RollOutAgeLearned", Subject: string(n), Revision: p.Order.Revision,
				Detail: c.From + " age " + now.Sub(p.Seen).Round(time.Millisecond).String(),
			})
		}
	}
	return updated, decisions
}
