package query

import (
	"time"

	"endivehitch/core/relay"
)

// comeBack is when a caller should try again at another instance.
const comeBack = 50 * time.Millisecond

// Admitted is a request that may run.
type Admitted struct {
	Route   relay.Route
	Account relay.Account
	// Rank is the priority that holds for the request, 0 being the most urgent.
	Rank int
}

// Admit finds the request's route and client account; the error is a relay.Refusal.
func Admit(s relay.State, q relay.Request) (Admitted, error) {
	if s.Config.Version == 0 {
		return Admitted{}, relay.Refusal{Reason: relay.ReasonNoConfig, NotRun: true, RetryAfter: comeBack, Detail: "no configuration yet"}
	}
	r, ok := s.Route(q.Host, q.Path)
	if !ok {
		return Admitted{}, relay.Refusal{Reason: relay.ReasonNoRoute, NotRun: true, Detail: "no route for " + q.Host + q.Path}
	}
	a := Admitted{Route: r, Rank: r.Rank}
	if !takes(s, r, q) {
		return a, relay.Refusal{Reason: relay.ReasonLeaving, NotRun: true, RetryAfter: comeBack, Detail: "the instance ends before the request might"}
	}
	if len(s.Config.Accounts) == 0 {
		return a, nil
	}
	account, known := s.Account(q.Key)
	if known {
		a.Account = account
		if account.HasRank {
			a.Rank = account.Rank
		}
	}
	if !known && !r.Open {
		return Admitted{}, relay.Refusal{Reason: relay.ReasonNoKey, NotRun: true, Detail: "no client account holds the key"}
	}
	return a, nil
}

// takeFor is how long a leaving instance takes requests that may outlast it, while callers and the
// platform notice; most of them end long before their deadline.
const takeFor = 2500 * time.Millisecond

// takes reports whether the instance takes the request on: one that is leaving takes what is sure to
// end before it does.
func takes(s relay.State, r relay.Route, q relay.Request) bool {
	if !s.Leaving || q.Arrived.Sub(s.LeavingSince) < takeFor {
		return true
	}
	deadline := q.Deadline(r)
	return !deadline.IsZero() && !deadline.After(s.LeavesBy)
}

// Ready reports whether the instance should receive new connections.
func Ready(s relay.State) bool {
	return s.Config.Version != 0 && !s.Leaving
}
