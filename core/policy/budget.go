package policy

// Budget bounds extra work, such as retries and hedges, as a share of first attempts; the zero value
// has its whole burst left.
//
// Because the bound is a ratio, a budget that holds at every instance also holds for the fleet.
type Budget struct {
	spent float64
}

// BudgetConfig sets the bounds of a Budget.
type BudgetConfig struct {
	// Percent is how many extra attempts each 100 first attempts allow; zero allows none at all.
	Percent int
	// Burst is how many extra attempts may be made without a first attempt in between.
	Burst float64
}

const percentScale = 100

// WithFirst returns the budget after a first attempt.
func (b Budget) WithFirst(c BudgetConfig) Budget {
	b.spent = max(0, b.spent-float64(c.Percent)/percentScale)
	return b
}

// WithExtra returns the budget after one extra attempt, and whether that attempt is allowed.
func (b Budget) WithExtra(c BudgetConfig) (Budget, bool) {
	if c.Percent <= 0 || b.spent+1 > c.Burst {
		return b, false
	}
	b.spent++
	return b, true
}
