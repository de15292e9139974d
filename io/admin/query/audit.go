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

// Audit is the result of reconciling stored bills with answered requests, with one total per client
// account.
type Audit struct {
	Totals []query.Total
	// Missing lists answered requests without a bill.
	Missing []value.RequestID
	// Duplicated lists requests with more than one stored bill, of which one is charged.
	Duplicated []value.RequestID
	// Unknown lists requests that have a bill but are not among the answered ones.
	Unknown []value.RequestID
}

type wireAnswered struct {
	Answered []value.RequestID
}

type wireAudit struct {
	Totals     []wireTotal
	Missing    []value.RequestID
	Duplicated []value.RequestID `json:"Doubled"`
	Unknown    []value.RequestID
}

type wireTotal struct {
	Account    value.AccountName
	Charges    int
	CostMicros int64
}

// auditPath is queried by POST, since the list of answered requests is too long for a URL.
const auditPath = "/admin/audit"

// AuditRoute returns the route that reconciles the bills in the key-value service with answered
// requests.
func AuditRoute(store plat.Reader) route.Route {
	return route.New(http.MethodPost, auditPath, func(ctx context.Context, w wireAnswered) (wireAudit, error) {
		segments, err := bills.ReadSegments(ctx, store)
		if err != nil {
			return wireAudit{}, value.ChangeUnavailable{Detail: err.Error()}
		}
		reconciliation := query.Reconcile(segments, w.Answered)
		reply := wireAudit{Missing: reconciliation.Missing, Duplicated: reconciliation.Duplicated, Unknown: reconciliation.Unknown}
		for _, t := range reconciliation.Totals() {
			reply.Totals = append(reply.Totals, wireTotal(t))
		}
		return reply, nil
	})
}

// FetchAudit asks an instance to reconcile the stored bills with the answered requests.
func FetchAudit(ctx context.Context, to route.Client, answered []value.RequestID) (Audit, error) {
	w, err := route.Query[wireAnswered, wireAudit](ctx, to, http.MethodPost, auditPath, wireAnswered{Answered: answered})
	if err != nil {
		return Audit{}, err
	}
	audit := Audit{Missing: w.Missing, Duplicated: w.Duplicated, Unknown: w.Unknown}
	for _, t := range w.Totals {
		audit.Totals = append(audit.Totals, query.Total(t))
	}
	return audit, nil
}
