package query

import (
	"context"
	"net/http"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/admin/route"
)

type wireRequest struct {
	Request value.RequestID
}

type wireExplanation struct {
	Request    value.RequestID
	Lines      []string
	CostMicros int64
	Billed     bool
}

const explainPath = "/admin/explain"

// ExplainRoute returns the route that explains a request by the decisions that the fleet has stored
// about it.
func ExplainRoute(c Config) route.Route {
	return route.New(http.MethodGet, explainPath, func(ctx context.Context, w wireRequest) (wireExplanation, error) {
		decisions, err := c.Decisions(ctx, w.Request)
		if err != nil {
			return wireExplanation{}, err
		}
		explanation, err := query.Explain(c.Snapshot(), w.Request, decisions)
		return wireExplanation(explanation), err
	})
}

// FetchExplanation asks an instance to explain the routing of a request. The error is
// value.ChangeRefused if no decisions about the request are stored.
func FetchExplanation(ctx context.Context, to route.Client, id value.RequestID) (query.Explanation, error) {
	w, err := route.Query[wireRequest, wireExplanation](ctx, to, http.MethodGet, explainPath, wireRequest{Request: id})
	return query.Explanation(w), err
}
