package query

import (
	"cmp"
	"slices"

	"endivehitch/core/value"
)

// Total is what one client account is charged.
type Total struct {
	Account value.AccountName
	Charges int
	// CostMicros is the sum in micro-units of currency.
	CostMicros int64
}

// Totals returns the sum of the charges of each client account, in the order of names.
func (a Audit) Totals() []Total {
	sums := make(map[value.AccountName]Total)
	for _, b := range a.Charges {
		t := sums[b.Account]
		sums[b.Account] = Total{Account: b.Account, Charges: t.Charges + 1, CostMicros: t.CostMicros + b.CostMicros}
	}
	var totals []Total
	for _, t := range sums {
		totals = append(totals, t)
	}
	slices.SortFunc(totals, func(x, y Total) int { return cmp.Compare(x.Account, y.Account) })
	return totals
}
