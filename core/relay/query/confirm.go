package query

import (
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/start"
)

// maxUnconfirmed is the time without news from which the state may be out of date without this instance
// knowing it. While an instance runs, it receives answers from others or the store several times a second, or finds
// within a few seconds that it can reach neither; only one that was paused has done neither.
const maxUnconfirmed = 5 * time.Second

// IsUnconfirmed reports whether the instance must not act on the state: it was paused, and what the state
// allows, such as a key or a server, may have ended meanwhile. While the store is known to be unreachable,
// the last known state stays in force.
func IsUnconfirmed(state relay.State, now time.Time) bool {
	if state.AnswerReceivedAt.IsZero() || !state.StoreUnreachableSince.IsZero() {
		return false
	}
	return now.Sub(state.AnswerReceivedAt) > maxUnconfirmed
}

// UnconfirmedRefusal returns the answer to a request that the instance can't admit for that reason.
func UnconfirmedRefusal() relay.Refusal {
	return relay.Refusal{
		Reason: relay.ReasonUnconfirmed, NotRun: true, RetryAfter: otherInstanceRetryAfter,
		Detail: "the instance was paused and does not know what has changed meanwhile",
	}
}

// HoldTime returns how long the request may be held until the instance has its first state; zero means that the request is to
// be admitted or refused now.
func HoldTime(state relay.State, request relay.Request, now time.Time) time.Duration {
	if state.Revision > 0 || state.Config.Version > 0 {
		return 0
	}
	return start.HoldTime(state.Startup, now, request.CallerTimeout)
}
