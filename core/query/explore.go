package query

import (
	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
)

const (
	// minExploreShare and maxExploreShare bound the share of sessions, in basis points, that may go
	// to a cheaper version whose quality bounds lie on both sides of the target.
	minExploreShare = 200
	maxExploreShare = 5000
	// basisPoints and fullPercent are a share of 100 %, in basis points and in percent.
	basisPoints = 10000
	fullPercent = 100
)

// considerExploration returns a plan with the cheaper version that has the fewest ratings for a
// bounded share of sessions, so that it gets more ratings; other sessions keep the given plan.
//
// Only idempotent kinds are explored, and only while ratings arrive. The share is at least
// minExploreShare. It is larger if the plan's quality exceeds the target, but only so far that the
// lower bound of the quality of all answers taken together still meets the target.
func (c *chooser) considerExploration(p Plan) Plan {
	if !c.kind.Idempotent || !c.set.ExpectsRatings(c.now) {
		return p
	}
	draw := c.sessionHash("explore") % basisPoints
	if draw >= maxExploreShare {
		return p
	}
	candidate := c.explorationCandidate(p)
	if candidate < 0 || draw >= c.explorationShare(p.Quality, c.lowerBound(candidate)) {
		return p
	}
	return c.singleVersion(candidate, value.ReasonExplore)
}

// explorationCandidate returns the index of the cheaper version with the fewest ratings of those
// that may meet the target but are not known to, or -1.
func (c *chooser) explorationCandidate(p Plan) int {
	candidate := -1
	var lowestWeight float64
	for i := range c.set.Candidates {
		if c.cost(i) >= p.CostMicros {
			continue
		}
		b := c.qualityBound(i)
		if b.Upper < c.kind.QualityTarget || b.Lower >= c.kind.QualityTarget {
			continue
		}
		if (candidate < 0 || b.Weight < lowestWeight) && c.eligible(i) {
			candidate, lowestWeight = i, b.Weight
		}
	}
	return candidate
}

// explorationShare returns the share of sessions to explore with, in basis points, given the lower
// bounds of quality of the plan and of the version to explore.
func (c *chooser) explorationShare(planQuality, exploredQuality float64) uint64 {
	surplus := planQuality - c.kind.QualityTarget
	if surplus <= 0 || planQuality <= exploredQuality {
		return minExploreShare
	}
	return uint64(min(max(surplus/(planQuality-exploredQuality)*basisPoints, minExploreShare), maxExploreShare))
}

// sessionHash returns a number that is the same for all requests of a session at every instance,
// and independent between purposes; a request without a session is hashed by its own identifier.
func (c *chooser) sessionHash(purpose string) uint64 {
	id := string(c.request.Session)
	if id == "" {
		id = string(c.request.ID)
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(purpose)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}
