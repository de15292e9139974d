package query

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Plan holds the versions to try, in order, and the reason for the choice.
type Plan struct {
	// Versions has one entry, or two for a cascade; it must not be changed.
	Versions []value.VersionKey
	Reason   value.Reason
	// Candidates counts the versions that were considered.
	Candidates int
	// CostMicros is the expected cost in micro-units of currency.
	CostMicros int64
	// Quality is the lower bound of the answer's quality, from 0 to 1.
	Quality float64
}

// IsCascade reports whether the judge has to accept the first version's answer before the caller
// gets it.
func (p Plan) IsCascade() bool {
	return len(p.Versions) > 1
}

// Last returns the version that answers if the judge gives no verdict.
func (p Plan) Last() value.VersionKey {
	return p.Versions[len(p.Versions)-1]
}

// ChoosePlan returns the cheapest allowed version, or cascade of versions, whose lower bound of
// quality meets the kind's target; the error is a value.Refusal.
//
// If no version is known to meet the target, it returns the one with the best lower bound. A
// session that is pinned to an allowed version stays on it. For other requests, exploration or the
// stage of a roll-out may replace the choice.
func ChoosePlan(s state.State, a Admitted, r value.Request, now time.Time) (Plan, error) {
	c := chooser{state: &s, kind: a.Kind, request: r, now: now}
	c.set, _ = s.Candidates(a.Kind.Name)
	c.allowedCandidates = s.AllowedCandidates(a.Account.Name, a.Kind.Name)
	if p, ok := c.pinnedPlan(); ok {
		return p, nil
	}
	c.requireServer = true
	p, ok := c.choose()
	if !ok {
		// No live backend server has an allowed version: plan without servers and let Route refuse.
		c.requireServer = false
		p, ok = c.choose()
	}
	if !ok {
		return Plan{}, refuse(value.ReasonNoVersion, "client account is allowed no version in service of model "+string(a.Kind.Model))
	}
	return p, nil
}

// chooser holds the inputs of one call of ChoosePlan.
type chooser struct {
	state *state.State
	set   state.CandidateSet
	// allowedCandidates says, by index in the set, whether the client account may use the version.
	allowedCandidates []bool
	kind              value.Kind
	request           value.Request
	now               time.Time
	// requireServer restricts the choice to versions that a live backend server has loaded.
	requireServer bool
}

// pinnedPlan returns the version that the session is pinned to, unless it is withdrawn or not
// allowed.
func (c *chooser) pinnedPlan() (Plan, bool) {
	if c.request.Pinned == "" {
		return Plan{}, false
	}
	i := c.set.Find(c.request.Pinned)
	if i < 0 || !c.allowed(i) {
		return Plan{}, false
	}
	return c.singleVersion(i, value.ReasonPinned), true
}

// choose returns the plan of a request that stays on no pinned version.
func (c *chooser) choose() (Plan, bool) {
	p, ok := c.cheapest()
	if !ok {
		p, ok = c.bestLowerBound()
	}
	if !ok {
		return Plan{}, false
	}
	p = c.considerCascade(p)
	p = c.considerExploration(p)
	p = c.applyStage(p)
	p.Candidates = len(c.set.Candidates)
	if c.request.Pinned != "" && c.state.IsWithdrawn(c.request.Pinned) {
		p.Reason = value.ReasonVersionWithdrawn
	}
	return p, true
}

// cheapest returns the cheapest version whose lower bound of quality meets the target.
func (c *chooser) cheapest() (Plan, bool) {
	found := -1
	var lowest int64
	for i := range c.set.Candidates {
		// The candidates are sorted by their reference cost. Most after the first match cost more, so
		// the bound and the eligibility, which take longer to compute, are rarely needed.
		if cost := c.cost(i); found < 0 || cost < lowest {
			if c.lowerBound(i) >= c.kind.QualityTarget && c.eligible(i) {
				found, lowest = i, cost
			}
		}
	}
	if found < 0 {
		return Plan{}, false
	}
	return c.singleVersion(found, value.ReasonCheapest), true
}

// bestLowerBound returns the version with the best lower bound of quality.
func (c *chooser) bestLowerBound() (Plan, bool) {
	found := -1
	var highest float64
	for i := range c.set.Candidates {
		if lower := c.lowerBound(i); (found < 0 || lower > highest) && c.eligible(i) {
			found, highest = i, lower
		}
	}
	if found < 0 {
		return Plan{}, false
	}
	return c.singleVersion(found, value.ReasonBestEffort), true
}

func (c *chooser) singleVersion(i int, reason value.Reason) Plan {
	return Plan{
		Versions:   c.set.Candidates[i].SinglePlan,
		Reason:     reason,
		Candidates: len(c.set.Candidates),
		CostMicros: c.cost(i),
		Quality:    c.lowerBound(i),
	}
}

func (c *chooser) allowed(i int) bool {
	return i < len(c.allowedCandidates) && c.allowedCandidates[i]
}

// eligible reports whether the version may be chosen by its own estimate, not only through a roll-out:
// it can take the request, and no roll-out holds it back or has replaced it.
func (c *chooser) eligible(i int) bool {
	candidate := &c.set.Candidates[i]
	if candidate.RollOutOnly || !c.canTake(i) {
		return false
	}
	// Once the roll-out is done, the new version takes the old one's place, if it can take the
	// request.
	replaced := candidate.Replacement.Percent >= fullPercent && !c.set.Candidates[candidate.Replacement.Candidate].RollOutOnly
	return !replaced || !c.canTake(candidate.Replacement.Candidate)
}

func (c *chooser) lowerBound(i int) float64 {
	return c.qualityBound(i).Lower
}

func (c *chooser) qualityBound(i int) policy.Bound {
	return c.set.Candidates[i].Bound(c.now)
}

func (c *chooser) cost(i int) int64 {
	return c.set.Candidates[i].Version.Cost(c.request.InputTokens, c.request.MaxTokens)
}
