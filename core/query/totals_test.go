package query_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/ledger"
	"endivehitch/core/query"
	"endivehitch/core/value"
)

func TestTotalsChargeABillStoredTwiceOnlyOnce(t *testing.T) {
	bill := func(id value.RequestID, account value.AccountName, cost int64) ledger.Entry {
		return ledger.Entry{Bill: value.Bill{Request: id, Account: account, CostMicros: cost}}
	}
	segments := []ledger.Segment{
		{Owner: "a", Entries: []ledger.Entry{bill("1", "ward", 5), bill("2", "ward", 7), bill("3", "desk", 1)}},
		{Owner: "b", Entries: []ledger.Entry{bill("1", "ward", 5)}},
	}
	got := query.Reconcile(segments, nil).Totals()
	assert.DeepEqual(t, got, []query.Total{{Account: "desk", Charges: 1, CostMicros: 1}, {Account: "ward", Charges: 2, CostMicros: 12}})
}
