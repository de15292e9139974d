package policy

// Budget bounds extra work as a share of first attempts; the zero value is empty.
//
// Because it is a ratio, budgets that hold at every instance hold for the fleet.
type Budget struct {
	saved float64
}

// BudgetConfig sets the bounds of a Budget.
type BudgetConfig struct {
	// Percent is how much extra work each 100 first attempts allow.
	Percent int
	// Burst is how many extra runs may be saved up.
	Burst float64
}

const hundred = 100

// WithFirst returns a budget that has counted a first attempt.
func (b Budget) WithFirst(c BudgetConfig) Budget {
	b.saved = min(b.saved+float64(c.Percent)/hundred, c.Burst)
	return b
}

// WithExtra returns a budget that has paid for one extra run, and whether it could.
func (b Budget) WithExtra() (Budget, bool) {
	if b.saved < 1 {
		return b, false
	}
	b.saved--
	return b, true
}
