package query

import (
	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
)

const (
	// exploreShare is the share of idempotent sessions, in a thousand, that may go to a cheaper version
	// whose bounds leave open whether it meets the target.
	exploreShare = 20
	perMille     = 1000
	wholeShare   = 100
)

// orExplore sends a bounded share of sessions to the least rated of the cheaper versions, so that it gets ratings.
func (c *chooser) orExplore(p Plan) Plan {
	if !c.kind.Idempotent || c.draw("explore")%perMille >= exploreShare {
		return p
	}
	found := -1
	var weight float64
	for i := range c.menu.Offers {
		if !c.eligible(i) || c.cost(i) >= p.CostMicros {
			continue
		}
		b := c.menu.Offers[i].Bound(c.now)
		if b.Upper < c.kind.QualityTarget || b.Lower >= c.kind.QualityTarget {
			continue
		}
		if found < 0 || b.Weight < weight {
			found, weight = i, b.Weight
		}
	}
	if found < 0 {
		return p
	}
	return c.alone(found, value.ReasonExplore)
}

// draw returns a number that is the same for each request of a session, at every instance.
func (c *chooser) draw(purpose string) uint64 {
	who := string(c.request.Session)
	if who == "" {
		who = string(c.request.ID)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(purpose)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(who)
	return d.Sum64()
}
