package query

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	// budgetBurst is how many hedges, or retries, the budget allows at once.
	budgetBurst = 10
	// hedgeQuantile is the quantile of the time to first token that the hedge delay is based on.
	hedgeQuantile = 0.95
	// hedgeMargin lengthens the delay, so that attempts at the slow end of the normal range do not
	// spend the hedge budget.
	hedgeMargin = 1.25
	// quantileStep is the largest relative change of the estimate by one sample.
	quantileStep = 0.05
	// quantileMinSamples is how many samples are needed before requests of a class are hedged.
	quantileMinSamples = 20
	minHedgeDelay      = 2 * time.Millisecond
)

// firstTokenQuantile configures the estimate of the time to first token for hedging.
var firstTokenQuantile = policy.QuantileConfig{Level: hedgeQuantile, Step: quantileStep, MinSamples: quantileMinSamples}

// HedgeDelay returns how long to wait for the first token before a hedged attempt starts; zero
// means that the request is not hedged.
func HedgeDelay(s state.State, k value.Kind, h History) time.Duration {
	if !k.Idempotent || s.Config.Document.Limits.HedgePercent <= 0 {
		return 0
	}
	p95 := h.FirstToken.Value(firstTokenQuantile)
	if p95 == 0 {
		return 0
	}
	return max(time.Duration(hedgeMargin*float64(p95)), minHedgeDelay)
}

// HedgeBudget returns the limits on hedged attempts.
func HedgeBudget(s state.State) policy.BudgetConfig {
	return policy.BudgetConfig{Percent: s.Config.Document.Limits.HedgePercent, Burst: budgetBurst}
}

// RetryBudget returns the limits on retries.
func RetryBudget(s state.State) policy.BudgetConfig {
	return policy.BudgetConfig{Percent: s.Config.Document.Limits.RetryPercent, Burst: budgetBurst}
}
