package query

import (
	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
)

const (
	// exploreFloor and exploreCap bound the share of idempotent sessions, in ten thousand, that may go
	// to a cheaper version whose bounds leave open whether it meets the target.
	exploreFloor = 200
	exploreCap   = 5000
	exploreWhole = 10000
	wholeShare   = 100
)

// orExplore sends a bounded share of sessions to the least rated of the cheaper versions, so that it
// gets ratings.
//
// Beyond a small floor the share is what the plan's own quality makes up for: the lower bound of the
// kind's answers taken together still meets the target.
func (c *chooser) orExplore(p Plan) Plan {
	if !c.kind.Idempotent || !c.menu.Rated(c.now) {
		return p
	}
	draw := c.draw("explore") % exploreWhole
	if draw >= exploreCap {
		return p
	}
	found := c.unproven(p)
	if found < 0 || draw >= c.share(p.Quality, c.lower(found)) {
		return p
	}
	return c.alone(found, value.ReasonExplore)
}

// unproven returns the least rated of the cheaper versions that may meet the target, or -1.
func (c *chooser) unproven(p Plan) int {
	found := -1
	var weight float64
	for i := range c.menu.Offers {
		if c.cost(i) >= p.CostMicros {
			continue
		}
		b := c.bound(i)
		if b.Upper < c.kind.QualityTarget || b.Lower >= c.kind.QualityTarget {
			continue
		}
		if (found < 0 || b.Weight < weight) && c.eligible(i) {
			found, weight = i, b.Weight
		}
	}
	return found
}

// share returns the share of sessions to explore, in ten thousand.
func (c *chooser) share(plan, explored float64) uint64 {
	spare := plan - c.kind.QualityTarget
	if spare <= 0 || plan <= explored {
		return exploreFloor
	}
	return uint64(min(max(spare/(plan-explored)*exploreWhole, exploreFloor), exploreCap))
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
