package query

import (
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/start"
)

// otherInstanceRetryAfter is how long a caller should wait before a retry that another instance may
// accept.
const otherInstanceRetryAfter = 50 * time.Millisecond

// Admitted holds the route, priority and client account, if any, of an admitted request.
type Admitted struct {
	Route   relay.Route
	Account relay.Account
	// Rank is the priority of the request, 0 being the most urgent.
	Rank int
}

// Admit returns the request's route, client account and priority; the error is a relay.Refusal.
func Admit(state relay.State, request relay.Request) (Admitted, error) {
	if state.Config.Version == 0 {
		return Admitted{}, relay.Refusal{Reason: relay.ReasonNoConfig, NotRun: true, RetryAfter: start.RetryAfter(state.Startup, request.Arrived, request.CallerTimeout), Detail: "no configuration yet"}
	}
	route, ok := state.Route(request.Host, request.Path)
	if !ok {
		return Admitted{}, relay.Refusal{Reason: relay.ReasonNoRoute, NotRun: true, Detail: "no route for " + request.Host + request.Path}
	}
	admitted := Admitted{Route: route, Rank: route.Rank}
	if !canAccept(state, route, request) {
		return admitted, relay.Refusal{Reason: relay.ReasonLeaving, NotRun: true, RetryAfter: otherInstanceRetryAfter, Detail: "the instance ends before the request might"}
	}
	if len(state.Config.Accounts) == 0 {
		return admitted, nil
	}
	account, known := state.Account(request.Key)
	if known {
		admitted.Account = account
		if account.HasRank {
			admitted.Rank = account.Rank
		}
	}
	if !known && !route.Open {
		return Admitted{}, relay.Refusal{Reason: relay.ReasonUnknownKey, NotRun: true, Detail: "no client account holds the key"}
	}
	return admitted, nil
}

// leavingAcceptPeriod is how long a leaving instance still accepts requests that may outlast it,
// until callers and the platform have noticed; most requests end long before their deadline.
const leavingAcceptPeriod = 2500 * time.Millisecond

// canAccept reports whether the instance may accept the request. A leaving instance accepts only requests whose deadline is
// before its own end, and during leavingAcceptPeriod also those that callers can send again or resume elsewhere if they are
// cut off.
func canAccept(state relay.State, route relay.Route, request relay.Request) bool {
	if !state.Leaving {
		return true
	}
	if route.IsRepeatable() && request.Arrived.Sub(state.LeavingSince) < leavingAcceptPeriod {
		return true
	}
	deadline := request.Deadline(route)
	return !deadline.IsZero() && !deadline.After(state.LeavesBy)
}

// Readiness reports whether the instance should receive new connections, and otherwise why it can't serve them.
func Readiness(state relay.State, now time.Time) (relay.Reason, bool) {
	switch {
	case state.Leaving:
		return relay.ReasonLeaving, false
	case state.Config.Version == 0:
		return relay.ReasonNoConfig, false
	case IsUnconfirmed(state, now):
		return relay.ReasonUnconfirmed, false
	}
	return "", true
}
