package where

import (
	"context"
	"errors"
	"net/http"
	"time"

	"endivehitch/core/relay"
	"endivehitch/io/admin/route"
	"endivehitch/io/proxy"
)

// path is that of the route, on the listener of the instance's metrics.
const path = "/where"

// Explainer says what an instance would do with a request, without any effect.
type Explainer interface {
	// Explain returns what the instance would do with the request.
	Explain(ctx context.Context, request relay.Request) proxy.Explanation
}

// Config holds the dependencies of a route.
type Config struct {
	Explainer Explainer
	Snapshot  func() relay.State
	Now       func() time.Time
}

// NewRoute returns the route that answers questions.
func NewRoute(c Config) route.Route {
	return route.New(http.MethodGet, path, func(ctx context.Context, q Question) (Answer, error) {
		now, state := c.Now(), c.Snapshot()
		request, err := q.decode(now)
		if err == nil {
			request, err = q.resolve(state, request)
		}
		if err != nil {
			return Answer{}, route.BadRequest{Detail: err.Error()}
		}
		return newAnswer(state.Self, c.Explainer.Explain(ctx, request), now), nil
	})
}

// Fetch asks an instance. The error is an ArgumentError if an argument is not valid, and value.ChangeUnavailable if the
// instance did not answer.
func Fetch(ctx context.Context, to route.Client, q Question) (Answer, error) {
	if err := q.Check(); err != nil {
		return Answer{}, err
	}
	answer, err := route.Query[Question, Answer](ctx, to, http.MethodGet, path, q)
	var bad route.BadRequest
	if errors.As(err, &bad) {
		return answer, argumentError(bad.Detail)
	}
	return answer, err
}
