package carry

import (
	"maps"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// Repeats bounds the fleet's sends beyond each request's first.
type Repeats struct {
	// Percent is how many more sends each 100 requests allow.
	Percent float64
	// Allowance is how many more sends the whole fleet may make at once.
	Allowance float64
}

// purpose says what a further send is for; each has a part of the budget of its own, so that larger
// models never use up what failures need.
type purpose int

const (
	repeat purpose = iota
	stepUp
)

// share is the purpose's part of the budget.
func (p purpose) share() float64 {
	if p == repeat {
		return 0.3
	}
	return 0.6
}

// leastBurst is how many sends in a row any instance may make, however large the fleet; the ratio's
// unused part covers them.
const leastBurst = 3

type purse struct {
	service relay.ServiceName
	purpose purpose
}

// config returns the budget's bounds for one instance of the fleet.
func (c *Carrier[H]) budget(p purpose) policy.BudgetConfig {
	members := max(1, len(c.config.Snapshot().Members()))
	return policy.BudgetConfig{
		Percent: int(c.config.Repeats.Percent * p.share()),
		Burst:   c.config.Repeats.Allowance*p.share()/float64(members) + leastBurst,
	}
}

// paid reports whether the service's budget allows one more send, and counts it.
func (c *Carrier[H]) paid(n relay.ServiceName, p purpose) bool {
	limits := c.budget(p)
	return c.budgets.TryUpdate(func(all map[purse]policy.Budget) (map[purse]policy.Budget, bool) {
		b, ok := all[purse{n, p}].WithExtra(limits)
		if !ok {
			return all, false
		}
		return withBudget(all, purse{n, p}, b), true
	})
}

// counted counts a first send, which pays for a part of a further one.
func (c *Carrier[H]) counted(n relay.ServiceName) {
	repeats, steps := c.budget(repeat), c.budget(stepUp)
	c.budgets.Update(func(all map[purse]policy.Budget) map[purse]policy.Budget {
		all = withBudget(all, purse{n, repeat}, all[purse{n, repeat}].WithFirst(repeats))
		return withBudget(all, purse{n, stepUp}, all[purse{n, stepUp}].WithFirst(steps))
	})
}

func withBudget(all map[purse]policy.Budget, key purse, b policy.Budget) map[purse]policy.Budget {
	next := make(map[purse]policy.Budget, len(all)+1)
	maps.Copy(next, all)
	next[key] = b
	return next
}
