package query

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Plan is the versions to try, in order, and why.
type Plan struct {
	// Versions has one entry, or two for a cascade; it must not be changed.
	Versions   []value.VersionKey
	Reason     value.Reason
	Candidates int
	// CostMicros is the expected cost in micro-units of currency.
	CostMicros int64
	// Quality is the lower bound of the answer's quality, from 0 to 1.
	Quality float64
}

// Cascade reports whether the first answer is to be judged before the caller sees it.
func (p Plan) Cascade() bool {
	return len(p.Versions) > 1
}

// Last returns the version that answers where no judge can be asked.
func (p Plan) Last() value.VersionKey {
	return p.Versions[len(p.Versions)-1]
}

// Choose returns the cheapest allowed version, or cascade of versions, whose lower bound of quality
// meets the kind's target; the error is a value.Refusal.
//
// Where none is known to meet it, the version with the best lower bound is chosen.
func Choose(s state.State, a Admitted, r value.Request, now time.Time) (Plan, error) {
	c := chooser{state: &s, kind: a.Kind, request: r, now: now}
	c.menu, _ = s.Menu(a.Kind.Name)
	c.granted = s.Granted(a.Account.Name, a.Kind.Name)
	if p, ok := c.pinned(); ok {
		return p, nil
	}
	c.serving = true
	p, ok := c.choose()
	if !ok {
		// No backend server carries any of them: the plan stands and routing states the refusal.
		c.serving = false
		p, ok = c.choose()
	}
	if !ok {
		return Plan{}, refuse(value.ReasonNoVersion, "client account is allowed no version in service of model "+string(a.Kind.Model))
	}
	return p, nil
}

// chooser is one choice under way.
type chooser struct {
	state   *state.State
	menu    state.Menu
	granted []bool
	kind    value.Kind
	request value.Request
	now     time.Time
	// serving asks for versions that a live backend server carries.
	serving bool
}

// pinned keeps the session's version until that is withdrawn.
func (c *chooser) pinned() (Plan, bool) {
	if c.request.Pinned == "" {
		return Plan{}, false
	}
	i := c.menu.Find(c.request.Pinned)
	if i < 0 || !c.allowed(i) {
		return Plan{}, false
	}
	return c.alone(i, value.ReasonPinned), true
}

func (c *chooser) choose() (Plan, bool) {
	p, ok := c.cheapest()
	if !ok {
		p, ok = c.best()
	}
	if !ok {
		return Plan{}, false
	}
	p = c.orCascade(p)
	p = c.orExplore(p)
	p = c.staged(p)
	p.Candidates = len(c.menu.Offers)
	if c.request.Pinned != "" && c.state.Withdrawn(c.request.Pinned) {
		p.Reason = value.ReasonVersionRetired
	}
	return p, true
}

// cheapest returns the cheapest version whose bound meets the target.
func (c *chooser) cheapest() (Plan, bool) {
	found := -1
	var low int64
	for i := range c.menu.Offers {
		// Offers come in the order of their usual cost, so that the dearer checks are rarely needed.
		if cost := c.cost(i); found < 0 || cost < low {
			if c.lower(i) >= c.kind.QualityTarget && c.eligible(i) {
				found, low = i, cost
			}
		}
	}
	if found < 0 {
		return Plan{}, false
	}
	return c.alone(found, value.ReasonCheapest), true
}

// best returns the version with the best bound.
func (c *chooser) best() (Plan, bool) {
	found := -1
	var high float64
	for i := range c.menu.Offers {
		if lower := c.lower(i); (found < 0 || lower > high) && c.eligible(i) {
			found, high = i, lower
		}
	}
	if found < 0 {
		return Plan{}, false
	}
	return c.alone(found, value.ReasonBestEffort), true
}

func (c *chooser) alone(i int, why value.Reason) Plan {
	return Plan{
		Versions:   c.menu.Offers[i].Alone,
		Reason:     why,
		Candidates: len(c.menu.Offers),
		CostMicros: c.cost(i),
		Quality:    c.lower(i),
	}
}

func (c *chooser) allowed(i int) bool {
	return i < len(c.granted) && c.granted[i]
}

// eligible reports whether new work may go to the version by its own estimate.
func (c *chooser) eligible(i int) bool {
	o := &c.menu.Offers[i]
	if o.Held || !c.takes(i) {
		return false
	}
	// Once its roll-out is done, the new version stands for the old one.
	done := o.Next.Percent >= wholeShare && !c.menu.Offers[o.Next.Offer].Held
	return !done || !c.takes(o.Next.Offer)
}

func (c *chooser) lower(i int) float64 {
	return c.bound(i).Lower
}

func (c *chooser) bound(i int) policy.Bound {
	return c.menu.Offers[i].Bound(c.now)
}

func (c *chooser) cost(i int) int64 {
	return c.menu.Offers[i].Version.Cost(c.request.InputTokens, c.request.MaxTokens)
}
