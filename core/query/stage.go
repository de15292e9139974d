package query

import (
	"slices"

	"endivehitch/core/value"
)

// staged replaces a version that a roll-out is replacing, for the stage's share of new sessions.
//
// The share of a session does not depend on the stage, so that a session stays on the new version
// when the share grows. A client account that may not use the new version stays on the old one.
func (c *chooser) staged(p Plan) Plan {
	for step, k := range p.Versions {
		next := c.menu.Offers[c.menu.Find(k)].Next
		if next.Percent == 0 || !c.takes(next.Offer) {
			continue
		}
		if c.draw(string(next.RollOut))%wholeShare >= uint64(next.Percent) {
			continue
		}
		p.Versions = slices.Clone(p.Versions)
		p.Versions[step] = c.menu.Offers[next.Offer].Key
		p.Reason = value.ReasonStage
		if !p.Cascade() {
			p.CostMicros = c.cost(next.Offer)
			p.Quality = c.lower(next.Offer)
		}
	}
	return p
}

// takes reports whether the version may receive new work, leaving aside whether a roll-out holds it.
func (c *chooser) takes(i int) bool {
	return c.allowed(i) && (!c.serving || len(c.state.Carriers(c.menu.Offers[i].Key)) > 0)
}
