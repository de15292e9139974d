package carry

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// Repeats bounds the fleet's sends beyond each request's first.
type Repeats struct {
	// Window is the time that the bounds hold for.
	Window time.Duration
	// Ratio is how many more sends each request allows.
	Ratio float64
	// Allowance is how many more sends the whole fleet may make besides.
	Allowance float64
}

// purpose says what a further send is for.
type purpose int

const (
	// repeat is a send after a failure.
	repeat purpose = iota
	// stepUp is a send to a larger model, which leaves a part of the budget to failures.
	stepUp
)

const (
	// budgetPart is the part of the fleet's bounds that the instances use, as their windows differ.
	budgetPart = 0.92
	// stepPart is the part of the budget that larger models may use.
	stepPart = 0.65
)

// bounds returns the budget's bounds for one instance of the fleet.
func (c *Carrier[H]) bounds() policy.QuotaConfig {
	members := max(1, len(c.config.Snapshot().Members()))
	r := c.config.Repeats()
	return policy.QuotaConfig{
		Window: r.Window, Ratio: r.Ratio * budgetPart, Allowance: r.Allowance * budgetPart / float64(members), Optional: stepPart,
	}
}

// paid reports whether the service's budget allows one more send, and counts it.
func (c *Carrier[H]) paid(n relay.ServiceName, p purpose) bool {
	bounds, now := c.bounds(), c.config.Now()
	return c.budgets.Of(n).TryUpdate(func(q policy.Quota) (policy.Quota, bool) {
		if p == stepUp {
			return q.WithOptional(bounds, now)
		}
		return q.WithExtra(bounds, now)
	})
}

// counted counts a first send, which pays for a part of a further one.
func (c *Carrier[H]) counted(n relay.ServiceName) {
	bounds, now := c.bounds(), c.config.Now()
	c.budgets.Of(n).Update(func(q policy.Quota) policy.Quota { return q.WithFirst(bounds, now) })
}
