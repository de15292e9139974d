package query

import (
	"cmp"
	"math"
	"time"

	"endivehitch/core/relay"
)

const (
	// minSilence is the shortest silence of a server after which it is taken for dead and a stream
	// from it is given up.
	minSilence = 1200 * time.Millisecond
	// soleAttemptFactor multiplies the time until a server is taken for dead when this instance has
	// only one attempt there, as the server's silence is then no more than that of the attempt.
	soleAttemptFactor = 2
	// maxStallGaps bounds the silence of a stream at a server that still answers other attempts, in
	// multiples of the route's Gap.
	maxStallGaps = 2
	// maxWaitObjectives bounds the wait for a first event at such a server, in multiples of
	// Objective.
	maxWaitObjectives = 2
	// defaultObjective and defaultGap are assumed for a route that states none.
	defaultObjective = 5 * time.Second
	defaultGap       = 3 * time.Second
)

// SilenceTimeout returns what is left of the silence timeout of an attempt that another server could
// take over; the attempt should be given up when it is zero or negative. answerStarted is set once
// the caller has received a part of the answer, serverSilent is how long this instance has received
// nothing from the server on any attempt, and silent how long this attempt has been silent; sole is
// set when this instance has no other attempt at the server.
//
// A busy server is slow for all requests, and starting one over elsewhere adds to the load, so only
// a server that seems to be dead is given up early. An attempt that began when the server was silent
// already gets the whole time-out from its own start.
func SilenceTimeout(route relay.Route, answerStarted, sole bool, serverSilent, silent time.Duration) time.Duration {
	objective, gap := cmp.Or(route.Objective, defaultObjective), cmp.Or(route.Gap, defaultGap)
	if !route.Stream {
		return objective*4/5 - silent
	}
	serverLimit := max(minSilence, objective*2/5)
	attemptLimit := maxWaitObjectives * objective
	if answerStarted {
		serverLimit = max(minSilence, gap*3/2)
		attemptLimit = maxStallGaps * gap
	}
	if sole {
		serverLimit *= soleAttemptFactor
	}
	return min(max(serverLimit-serverSilent, serverLimit-silent), attemptLimit-silent)
}

const (
	// minStall, stallObjectives and stallGaps give the longest pause that callers wait for the next
	// event of a stream: whichever of the three is longest.
	minStall        = 2 * time.Second
	stallObjectives = 4
	stallGaps       = 8
	// stallMargin is added, so that a caller that still waits is not cut off.
	stallMargin = 2 * time.Second
)

// StallTimeout returns what is left until a stream that has been silent for the given time is ended
// although no other server can take over: by then no caller waits for it. It never runs out for a plain
// answer, which its deadline bounds.
func StallTimeout(route relay.Route, silent time.Duration) time.Duration {
	if !route.Stream {
		return math.MaxInt64
	}
	objective, gap := cmp.Or(route.Objective, defaultObjective), cmp.Or(route.Gap, defaultGap)
	return max(minStall, stallObjectives*objective, stallGaps*gap) + stallMargin - silent
}

const (
	// rescueShare is the part of a request's whole time that is kept for another server to finish a
	// stream that is late.
	rescueShare = 1.0 / 10
)

// RescueDelay returns what is left until a stream should go on at another server, with the smallest model,
// because it would probably miss its deadline otherwise: an answer whose end comes from a smaller model is
// worth more to its caller than one that breaks off. An attempt is left alone for as long as its successor
// would get. The whole time is that from the request's arrival to its deadline; ran is how long the attempt
// has been under way.
func RescueDelay(route relay.Route, whole, left, ran time.Duration) time.Duration {
	if !route.Stream {
		return math.MaxInt64
	}
	reserve := time.Duration(rescueShare * float64(whole))
	return max(left-reserve, reserve-ran)
}
