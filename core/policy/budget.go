package policy

// Budget bounds extra work as a share of first attempts; the zero value has its whole burst left.
//
// Because it is a ratio, budgets that hold at every instance hold for the fleet.
type Budget struct {
	spent float64
}

// BudgetConfig sets the bounds of a Budget.
type BudgetConfig struct {
	// Percent is how much extra work each 100 first attempts allow; zero allows none at all.
	Percent int
	// Burst is how many extra runs may be made at once.
	Burst float64
}

const hundred = 100

// WithFirst returns a budget that has counted a first attempt.
func (b Budget) WithFirst(c BudgetConfig) Budget {
	b.spent = max(0, b.spent-float64(c.Percent)/hundred)
	return b
}

// WithExtra returns a budget that has paid for one extra run, and whether it could.
func (b Budget) WithExtra(c BudgetConfig) (Budget, bool) {
	if c.Percent <= 0 || b.spent+1 > c.Burst {
		return b, false
	}
	b.spent++
	return b, true
}
