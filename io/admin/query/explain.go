package query

import (
	"context"
	"net/http"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/admin/route"
)

type wireQuestion struct {
	Request value.RequestID
}

type wireExplanation struct {
	Request    value.RequestID
	Lines      []string
	CostMicros int64
	Billed     bool
}

const explainPath = "/admin/explain"

// ExplainRoute serves explanations of requests whose decisions the fleet keeps.
func ExplainRoute(c Config) route.Route {
	return route.New(http.MethodGet, explainPath, func(ctx context.Context, w wireQuestion) (wireExplanation, error) {
		decisions, err := c.Decisions(ctx, w.Request)
		if err != nil {
			return wireExplanation{}, err
		}
		x, err := query.Explain(c.Snapshot(), w.Request, decisions)
		return wireExplanation(x), err
	})
}

// AskExplain asks an instance why a request went where it went; the error is value.ChangeRefused where it doesn't know.
func AskExplain(ctx context.Context, to route.Client, id value.RequestID) (query.Explanation, error) {
	w, err := route.Ask[wireQuestion, wireExplanation](ctx, to, http.MethodGet, explainPath, wireQuestion{Request: id})
	return query.Explanation(w), err
}
