package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

const (
	// reportLifetime is longer than the time in which an instance has asked the readers of all failure domains in turn.
	reportLifetime = 10 * time.Second
	// maxReportAccounts and maxLedgerReports bound a message and the memory of a ledger. The accounts beyond use too
	// little to be held to a share.
	maxReportAccounts = 32
	maxLedgerReports  = 512
)

// Ledger holds what other instances have reported of client accounts; the zero value is empty.
type Ledger struct {
	reports policy.Table[relay.MemberName, received]
	// sum is the last sum that an instance has returned.
	sum received
}

type received struct {
	report relay.UseReport
	at     time.Time
}

func (r received) isFresh(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) < reportLifetime
}

// With returns a ledger that includes the report, unless it is malformed or there are too many.
func (l Ledger) With(report relay.UseReport, at time.Time) Ledger {
	if report.Instances <= 0 || slices.ContainsFunc(report.Accounts, isMalformed) {
		return l
	}
	report.Accounts = report.Accounts[:min(len(report.Accounts), maxReportAccounts)]
	arrived := received{report: report, at: at}
	if report.From == "" {
		// Sums of different instances cover about the same ones, so a larger one is kept while it is fresh.
		if !l.sum.isFresh(at) || report.Instances*4 >= l.sum.report.Instances*3 {
			l.sum = arrived
		}
		return l
	}
	if _, known := l.reports.Get(report.From); known || l.reports.Len() < maxLedgerReports {
		l.reports = l.reports.With(report.From, arrived)
	}
	return l
}

func isMalformed(u relay.AccountUse) bool {
	return !isRate(u.Offered) || !isRate(u.Admitted) || !isRate(u.Usual)
}

func isRate(v float64) bool {
	return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v)
}

// WithoutExpired returns a ledger without the reports that have expired.
func (l Ledger) WithoutExpired(now time.Time) Ledger {
	for name, r := range l.reports.All() {
		if !r.isFresh(now) {
			l.reports = l.reports.Without(name)
		}
	}
	return l
}

// Sum returns the sum of this instance's own uses and those that other instances have reported to it, and the age of the
// oldest report in it.
func (l Ledger) Sum(self relay.MemberName, own []relay.AccountUse, now time.Time) (relay.UseReport, time.Duration) {
	byAccount := make(map[relay.AccountName]relay.AccountUse, len(own))
	add := func(uses []relay.AccountUse) {
		for _, u := range uses {
			sum := byAccount[u.Account].With(u)
			sum.Account = u.Account
			byAccount[u.Account] = sum
		}
	}
	add(own)
	sum, age := relay.UseReport{Instances: 1}, time.Duration(0)
	for name, r := range l.reports.All() {
		if name == self || !r.isFresh(now) {
			continue
		}
		add(r.report.Accounts)
		sum.Instances++
		age = max(age, now.Sub(r.at))
	}
	for _, u := range byAccount {
		sum.Accounts = append(sum.Accounts, u)
	}
	return Bounded(sum), age
}

// Totals returns the use of the fleet, as far as it is known: the sum over the most instances.
func (l Ledger) Totals(self relay.MemberName, own []relay.AccountUse, now time.Time) Totals {
	sum, age := l.Sum(self, own, now)
	if l.sum.isFresh(now) && l.sum.report.Instances > sum.Instances {
		sum, age = l.sum.report, now.Sub(l.sum.at)
	}
	return newTotals(sum, age, now)
}

// Bounded returns the report with the accounts that offer most, ordered by that.
func Bounded(report relay.UseReport) relay.UseReport {
	slices.SortFunc(report.Accounts, func(a, b relay.AccountUse) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Account, b.Account))
	})
	report.Accounts = report.Accounts[:min(len(report.Accounts), maxReportAccounts)]
	return report
}
