package query

import (
	"time"

	"endivehitch/core/relay"
)

// Ending is how an attempt at a backend server ended, as far as the router knows.
type Ending int

// The endings of an attempt.
const (
	// EndedUnsent is the end of an attempt that the server can't have received.
	EndedUnsent Ending = iota
	// EndedNotRun is the end of an attempt that the server refused to run.
	EndedNotRun
	// EndedUnknown is the end of an attempt whose outcome is unknown: the server may have run it.
	EndedUnknown
	// EndedLost is the same for an attempt whose server was lost as it began to answer, which may be the request's
	// own fault.
	EndedLost
	// EndedFailed is the end of an attempt that the server answered with an error of its own.
	EndedFailed
	// EndedSlow is the end of an attempt that the router gave up because it was silent for too long.
	EndedSlow
	// EndedDiscarded is the end of an attempt whose answer was dropped in favour of a larger model's.
	EndedDiscarded
)

// RequestAttempts counts the attempts of one request.
type RequestAttempts struct {
	// All counts every attempt, Run those that a server may have run, Failed those that ended with EndedFailed, and Lost
	// those that ended with EndedLost.
	All    int
	Run    int
	Failed int
	Lost   int
}

// With returns counts that include an attempt with the ending.
func (n RequestAttempts) With(ending Ending) RequestAttempts {
	n.All++
	if ending != EndedUnsent && ending != EndedNotRun {
		n.Run++
	}
	switch ending {
	case EndedFailed:
		n.Failed++
	case EndedLost:
		n.Lost++
	}
	return n
}

const (
	// minTimeLeft is the time to the deadline below which a retry isn't worth a server's capacity.
	minTimeLeft = 30 * time.Millisecond
	// maxUnrunAttempts is the highest number of a request's attempts that no server has run after which
	// the request is still retried.
	maxUnrunAttempts = 4
	// maxLostServers is the number of servers lost as they began to answer a request after which it isn't sent to
	// another one.
	maxLostServers = 2
)

// MayRetry reports whether the request may be retried at another server after an attempt with the
// ending, which the counts include.
func MayRetry(route relay.Route, ending Ending, attempts RequestAttempts, left time.Duration) bool {
	if left < minTimeLeft || attempts.Run >= max(1, route.Attempts) || attempts.All-attempts.Run > maxUnrunAttempts {
		return false
	}
	if ending == EndedUnsent || ending == EndedNotRun {
		return true
	}
	if attempts.Lost >= maxLostServers {
		return false
	}
	return route.IsRepeatable()
}

// FinalRefusal returns the final answer to a request whose last attempt, with the ending, isn't
// retried.
func FinalRefusal(ending Ending, attempts RequestAttempts, left time.Duration) relay.Refusal {
	switch {
	case attempts.Run == 0 && left < minTimeLeft:
		return relay.Refusal{Reason: relay.ReasonTimeout, NotRun: true, RetryAfter: otherInstanceRetryAfter, Detail: "no server took the request in time"}
	case attempts.Run == 0:
		return relay.Refusal{Reason: relay.ReasonSaturated, NotRun: true, RetryAfter: saturatedRetryAfter, Detail: "no server took the request"}
	case left < minTimeLeft || ending == EndedSlow:
		return relay.Refusal{Reason: relay.ReasonTimeout, Detail: "the answer did not come in time"}
	}
	return relay.Refusal{Reason: relay.ReasonOutcomeUnknown, Detail: "the server's answer was lost"}
}

// EndingInstanceRefusal returns the final answer to a request that outlasts the instance.
func EndingInstanceRefusal(attempts RequestAttempts) relay.Refusal {
	if attempts.Run == 0 {
		return relay.Refusal{Reason: relay.ReasonLeaving, NotRun: true, RetryAfter: otherInstanceRetryAfter, Detail: "the instance ended before a server took the request"}
	}
	return relay.Refusal{Reason: relay.ReasonOutcomeUnknown, Detail: "the instance ended before the answer came"}
}

// saturatedRetryAfter is how long a caller should wait when no server had a free slot.
const saturatedRetryAfter = 200 * time.Millisecond
