package query

import (
	"slices"

	"endivehitch/core/value"
)

// applyStage puts the new version of a roll-out in the old one's place, for the share of new
// sessions that the roll-out's present stage sets.
//
// A session's hash does not depend on the stage, so that a session on the new version stays there
// when the share grows. A client account that may not use the new version stays on the old one.
func (c *chooser) applyStage(p Plan) Plan {
	for step, k := range p.Versions {
		replacement := c.set.Candidates[c.set.Find(k)].Replacement
		if replacement.Percent == 0 || !c.canTake(replacement.Candidate) {
			continue
		}
		if c.sessionHash(string(replacement.RollOut))%fullPercent >= uint64(replacement.Percent) {
			continue
		}
		p.Versions = slices.Clone(p.Versions)
		p.Versions[step] = c.set.Candidates[replacement.Candidate].Key
		p.Reason = value.ReasonStage
		if !p.IsCascade() {
			p.CostMicros = c.cost(replacement.Candidate)
			p.Quality = c.lowerBound(replacement.Candidate)
		}
	}
	return p
}

// canTake reports whether the account may use the version and, if that is required, a server has it
// loaded; it ignores whether the version is held back for its roll-out.
func (c *chooser) canTake(i int) bool {
	return c.allowed(i) && (!c.requireServer || len(c.state.VersionServers(c.set.Candidates[i].Key)) > 0)
}
