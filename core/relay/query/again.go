package query

import (
	"time"

	"endivehitch/core/relay"
)

// Ending says how one run at a backend server ended, as far as the router knows.
type Ending int

// The endings of a run.
const (
	// EndedUnsent is the end of a run that the server can't have received.
	EndedUnsent Ending = iota
	// EndedNotRun is the end of a run that the server declined to start.
	EndedNotRun
	// EndedUnknown is the end of a run that may have had its effect.
	EndedUnknown
	// EndedFailed is the end of a run that the server answered with a failure of its own.
	EndedFailed
	// EndedSlow is the end of a run that the router gave up because it took too long to answer.
	EndedSlow
	// EndedDropped is the end of a run whose answer was dropped for a larger model's.
	EndedDropped
)

// Sends counts what has been tried for one request.
type Sends struct {
	// All counts every send, Run those that may have run.
	All int
	Run int
}

// With returns counts that include a send with the ending.
func (n Sends) With(e Ending) Sends {
	n.All++
	if e != EndedUnsent && e != EndedNotRun {
		n.Run++
	}
	return n
}

const (
	// leastLeft is the time below which another send isn't worth its place at a server.
	leastLeft = 30 * time.Millisecond
	// mostUnrun bounds the sends of one request that no server has run.
	mostUnrun = 4
)

// Again reports whether the request may be sent to another server after the ending.
func Again(r relay.Route, e Ending, n Sends, left time.Duration) bool {
	if left < leastLeft || n.Run >= max(1, r.Attempts) || n.All-n.Run > mostUnrun {
		return false
	}
	if e == EndedUnsent || e == EndedNotRun {
		return true
	}
	return r.Repeat != relay.RepeatNever
}

// Verdict returns the final answer for a request that won't be sent again.
func Verdict(e Ending, n Sends, left time.Duration) relay.Refusal {
	switch {
	case n.Run == 0 && left < leastLeft:
		return relay.Refusal{Reason: relay.ReasonTimeout, NotRun: true, RetryAfter: comeBack, Detail: "no server took the request in time"}
	case n.Run == 0:
		return relay.Refusal{Reason: relay.ReasonSaturated, NotRun: true, RetryAfter: crowdedAfter, Detail: "no server took the request"}
	case left < leastLeft || e == EndedSlow:
		return relay.Refusal{Reason: relay.ReasonTimeout, Detail: "the answer did not come in time"}
	}
	return relay.Refusal{Reason: relay.ReasonUnknown, Detail: "the server's answer was lost"}
}

// crowdedAfter is when a caller should come back that found every server full.
const crowdedAfter = 200 * time.Millisecond
