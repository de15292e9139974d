package start

import (
	"time"

	"endivehitch/core/relay"
)

const (
	// otherRetryAfter is the retry time while another instance is known to serve requests.
	otherRetryAfter = 50 * time.Millisecond
	// knowledgeTime is how long another instance is taken to serve requests after it has last said so.
	knowledgeTime = 2 * time.Second
	// minRetryAfter is the time within which a fleet serves requests again after the store's first answer.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter keeps callers with the shortest deadline, 5 s, from waiting for more than a third of it.
	maxRetryAfter = 1500 * time.Millisecond
	// callerShare is the divisor of the time that a caller has left: most callers wait no longer than a third.
	callerShare = 3
	// maxHold is how long a request is held at an instance that is about to have a state.
	maxHold = 500 * time.Millisecond
)

// OthersServe reports whether another instance has lately said that it serves requests.
func OthersServe(s relay.Startup, now time.Time) bool {
	return !s.OthersServeAt.IsZero() && now.Sub(s.OthersServeAt) < knowledgeTime
}

// RetryAfter returns when a caller should come back to whom an instance without a state can't give an answer.
// Left is the time that the caller has left, or zero if it gave no limit. Where no other instance is known to
// serve either, a retry at once would fail as well: the longer the instance has waited for a state, the longer
// it may still have to wait.
func RetryAfter(s relay.Startup, now time.Time, left time.Duration) time.Duration {
	if OthersServe(s, now) {
		return otherRetryAfter
	}
	waited := time.Duration(0)
	if !s.Since.IsZero() {
		waited = now.Sub(s.Since)
	}
	return withinShare(min(max(waited, minRetryAfter), maxRetryAfter), left)
}

// HoldTime returns how long a request may be held at an instance without a state. Callers retry once or a few
// times, and a held request has not spent a retry; where another instance serves, it is not held.
func HoldTime(s relay.Startup, now time.Time, left time.Duration) time.Duration {
	if OthersServe(s, now) {
		return 0
	}
	return withinShare(maxHold, left)
}

func withinShare(d, left time.Duration) time.Duration {
	if left <= 0 {
		return d
	}
	return min(d, left/callerShare)
}
