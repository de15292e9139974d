package query

import (
	"context"
	"net/http"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/admin/route"
	"endivehitch/io/bills"
	"endivehitch/io/plat"
)

// Audit is the reconciliation of kept bills with answered requests, with sums in place of single charges.
type Audit struct {
	Totals []query.Total
	// Missing lists answered requests without a bill.
	Missing []value.RequestID
	// Doubled lists requests with more than one kept bill, of which one is charged.
	Doubled []value.RequestID
	// Unknown lists requests that have a bill and no answer.
	Unknown []value.RequestID
}

type wireAnswered struct {
	Answered []value.RequestID
}

type wireAudit struct {
	Totals  []wireTotal
	Missing []value.RequestID
	Doubled []value.RequestID
	Unknown []value.RequestID
}

type wireTotal struct {
	Account    value.AccountName
	Charges    int
	CostMicros int64
}

// The list of answered requests is too long for a URL, so that this question is a POST.
const auditPath = "/admin/audit"

// AuditRoute serves the reconciliation of the bills in the key-value service.
func AuditRoute(from plat.Reader) route.Route {
	return route.New(http.MethodPost, auditPath, func(ctx context.Context, w wireAnswered) (wireAudit, error) {
		segments, err := bills.Read(ctx, from)
		if err != nil {
			return wireAudit{}, value.ChangeUnavailable{Detail: err.Error()}
		}
		a := query.Reconcile(segments, w.Answered)
		out := wireAudit{Missing: a.Missing, Doubled: a.Duplicated, Unknown: a.Unknown}
		for _, t := range a.Totals() {
			out.Totals = append(out.Totals, wireTotal(t))
		}
		return out, nil
	})
}

// AskAudit asks an instance to reconcile the kept bills with the answered requests.
func AskAudit(ctx context.Context, to route.Client, answered []value.RequestID) (Audit, error) {
	w, err := route.Ask[wireAnswered, wireAudit](ctx, to, http.MethodPost, auditPath, wireAnswered{Answered: answered})
	if err != nil {
		return Audit{}, err
	}
	a := Audit{Missing: w.Missing, Doubled: w.Doubled, Unknown: w.Unknown}
	for _, t := range w.Totals {
		a.Totals = append(a.Totals, query.Total(t))
	}
	return a, nil
}
