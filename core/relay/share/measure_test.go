package share_test

import (
	"fmt"
	"testing"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/share"
)

// Reports what a small account gets in time and before its deadlines beside a surging one, with and without admission.
func BenchmarkMeasureAdmission(b *testing.B) {
	for range b.N {
		with, without := play(load{rates: twoAccounts}, true).all("small"), play(load{rates: twoAccounts}, false).all("small")
		b.ReportMetric(with.rate(with.inTime), "in-time")
		b.ReportMetric(without.rate(without.inTime), "in-time-without")
		b.ReportMetric(with.rate(with.answered)/without.rate(without.answered), "answered-ratio")
	}
}

// Reports the cost of one decision, whose growth with the number of accounts must be far below proportional.
func BenchmarkMeasureDecision(b *testing.B) {
	now := time.Unix(5000, 0)
	for _, accounts := range []int{8, 32} {
		report := relay.UseReport{Instances: 1}
		for i := range accounts {
			report.Accounts = append(report.Accounts, relay.AccountUse{Account: relay.AccountName(fmt.Sprint(i)), Offered: float64(i), Admitted: 1, Usual: 1})
		}
		totals := share.Ledger{}.Totals("", report.Accounts, now)
		pressure := share.Pressure{}.With(time.Second, time.Second, now)
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			request := share.Request{Account: "7", Objective: time.Second, Left: time.Minute, Wait: time.Second}
			for i := range b.N {
				request.Hash = uint64(i) << 40
				share.Decide(request, pressure, totals, now)
			}
		})
	}
}
