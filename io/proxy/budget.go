package proxy

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// RetryLimits limits extra attempts: retries and attempts with larger models, beyond the first attempt of
// each request. The limits apply to the whole fleet and to each service separately.
type RetryLimits struct {
	// Window is the length of the sliding window in which the limits apply.
	Window time.Duration
	// Ratio is how many extra attempts are allowed for each request within the window.
	Ratio float64
	// Allowance is how many extra attempts the whole fleet may make within the window on top of Ratio.
	Allowance float64
}

// budgetUse is what an extra attempt is for.
type budgetUse int

const (
	// useRetry is an attempt after one that failed or was cancelled because the server was silent too long.
	useRetry budgetUse = iota
	// useStepUp is an attempt with a larger model; it may use only a part of the budget, so that the rest
	// remains for retries.
	useStepUp
)

const (
	// fleetLimitShare is the share of the fleet's limits that the instances use. The rest is a margin, since
	// the instances' windows are not aligned.
	fleetLimitShare = 0.92
	// stepUpShare is the share of the budget that step-ups may use.
	stepUpShare = 0.65
)

// budgetLimits returns this instance's part of the limits, reduced to fleetLimitShare: the ratio applies
// to the instance's own requests, and the fleet's allowance is divided by the number of instances.
func (d *Dispatcher[H]) budgetLimits() policy.QuotaConfig {
	instances := max(1, len(d.config.Snapshot().Members()))
	limits := d.config.RetryLimits()
	return policy.QuotaConfig{
		Window: limits.Window, Ratio: limits.Ratio * fleetLimitShare,
		Allowance: limits.Allowance * fleetLimitShare / float64(instances), OptionalShare: stepUpShare,
	}
}

// spendBudget reports whether the service's budget allows an extra attempt, and if so counts it.
func (d *Dispatcher[H]) spendBudget(service relay.ServiceName, use budgetUse) bool {
	limits, now := d.budgetLimits(), d.config.Now()
	return d.retryBudgets.Cell(service).TryUpdate(func(q policy.Quota) (policy.Quota, bool) {
		if use == useStepUp {
			return q.WithOptional(limits, now)
		}
		return q.WithExtra(limits, now)
	})
}

// countFirstAttempt counts the first attempt of a request, which adds Ratio to the service's budget.
func (d *Dispatcher[H]) countFirstAttempt(service relay.ServiceName) {
	limits, now := d.budgetLimits(), d.config.Now()
	d.retryBudgets.Cell(service).Update(func(q policy.Quota) policy.Quota { return q.WithFirst(limits, now) })
}
