package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// ApplyOrderAges takes in the ages, reported by another instance, of roll-out orders whose age is
// unknown.
type ApplyOrderAges struct {
	OrderAges []relay.OrderAge
	// From names the reporting instance.
	From string
}

// Apply returns the state with the reported ages, and a log line for each one that was unknown
// before.
func (c ApplyOrderAges) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	updated := state.WithOrderAges(c.OrderAges, now)
	var decisions []relay.Effect
	for name, rollOut := range updated.RollOuts() {
		if before, _ := state.RollOut(name); rollOut.AgeKnown && !before.AgeKnown {
			decisions = append(decisions, relay.RecordDecision{
				Event: "RollOutAgeLearned", Subject: string(name), Revision: rollOut.Order.Revision,
				Detail: c.From + " age " + now.Sub(rollOut.OrderedAt).Round(time.Millisecond).String(),
			})
		}
	}
	return updated, decisions
}
