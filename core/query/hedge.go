package query

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	budgetBurst = 10
	// hedgeQuantile is the share of first pieces that arrive before a hedge is started.
	hedgeQuantile = 0.95
	// hedgeMargin keeps runs that are merely in the slower part of the normal ones from spending the budget.
	hedgeMargin  = 1.25
	quantileStep = 0.05
	quantileSeen = 20
	leastHedge   = 2 * time.Millisecond
)

// FirstQuantile is how the time to a first piece is followed for hedging.
var firstQuantile = policy.QuantileConfig{Of: hedgeQuantile, Step: quantileStep, MinSeen: quantileSeen}

// HedgeAfter returns how long to wait for a first piece before a second run is started; zero means never.
func HedgeAfter(s state.State, k value.Kind, h History) time.Duration {
	if !k.Idempotent || s.Config.Document.Limits.HedgePercent <= 0 {
		return 0
	}
	first := h.First.Value(firstQuantile)
	if first == 0 {
		return 0
	}
	return max(time.Duration(hedgeMargin*float64(first)), leastHedge)
}

// HedgeBudget returns the bounds of hedged runs.
func HedgeBudget(s state.State) policy.BudgetConfig {
	return policy.BudgetConfig{Percent: s.Config.Document.Limits.HedgePercent, Burst: budgetBurst}
}

// RetryBudget returns the bounds of retries.
func RetryBudget(s state.State) policy.BudgetConfig {
	return policy.BudgetConfig{Percent: s.Config.Document.Limits.RetryPercent, Burst: budgetBurst}
}
