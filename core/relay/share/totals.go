package share

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"endivehitch/core/relay"
)

// minShare is the smallest share of an account's requests that are admitted, so that none is starved and that a wrong
// estimate is corrected by answers.
const minShare = 1.0 / 32

// Totals is the use of all client accounts over the fleet, prepared for look-ups; the zero value knows no account.
type Totals struct {
	// At is when the totals were computed, Age how old the oldest report in them was then, and Instances how many
	// instances they cover.
	At        time.Time
	Age       time.Duration
	Instances int
	admitted  float64
	// demands maps accounts to what they ask for relative to their weights.
	demands map[relay.AccountName]float64
	// steps lists the same by ascending demand.
	steps []step
	// weight is the sum of all weights.
	weight float64
}

// step is one account in the order of demands.
type step struct {
	demand float64
	// offered and weight are the sums over the accounts before this one.
	offered float64
	weight  float64
}

func newTotals(sum relay.UseReport, age time.Duration, now time.Time) Totals {
	t := Totals{At: now, Age: age, Instances: sum.Instances, demands: make(map[relay.AccountName]float64, len(sum.Accounts))}
	type weighted struct{ demand, offered, weight float64 }
	list, mean := make([]weighted, 0, len(sum.Accounts)), meanUsual(sum.Accounts)
	for _, u := range sum.Accounts {
		w := weighted{offered: u.Offered, weight: weightOf(u, mean)}
		w.demand = w.offered / w.weight
		t.demands[u.Account] = w.demand
		t.admitted += u.Admitted
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(a.demand, b.demand) })
	offered := 0.0
	for _, w := range list {
		t.steps = append(t.steps, step{demand: w.demand, offered: offered, weight: t.weight})
		offered += w.offered
		t.weight += w.weight
	}
	return t
}

func meanUsual(accounts []relay.AccountUse) float64 {
	sum := 0.0
	for _, u := range accounts {
		sum += u.Usual
	}
	return sum / float64(max(1, len(accounts)))
}

// weightOf returns the account's weight: its usual use, or an equal part if that is more. A large account is so entitled to
// its usual use, and a small one to grow.
func weightOf(u relay.AccountUse, mean float64) float64 {
	const least = 1e-3
	return max(u.Usual, mean, least)
}

// Share returns the share of the account's requests, from minShare to 1, that are admitted when all accounts together may
// use the factor times what has been admitted lately. Accounts are cut to a common level relative to their weights; those
// below it are not cut.
func (t Totals) Share(account relay.AccountName, factor float64) float64 {
	demand, ok := t.demands[account]
	if !ok || demand <= 0 {
		return 1
	}
	return min(1, max(minShare, t.level(factor*t.admitted)/demand))
}

// level returns the use relative to the weights to which accounts are cut so that their sum is the target.
func (t Totals) level(target float64) float64 {
	sumAt := func(s step) float64 { return s.offered + s.demand*(t.weight-s.weight) }
	next := sort.Search(len(t.steps), func(i int) bool { return sumAt(t.steps[i]) > target })
	if next == len(t.steps) {
		// All that is offered fits.
		return t.steps[len(t.steps)-1].demand
	}
	s := t.steps[next]
	return (target - s.offered) / (t.weight - s.weight)
}
