package query

import (
	"cmp"
	"time"

	"endivehitch/core/relay"
)

// Waiting is what is known of an attempt at an engine whose answer has not begun.
type Waiting struct {
	// Expected is the time to the first event that was expected when the server was chosen, or that is usual for such
	// requests, whichever is longer.
	Expected time.Duration
	// Waited is the time since the attempt's start, and ServerSilent that for which the server has sent nothing on any
	// attempt, counted from this one's start at the earliest.
	Waited       time.Duration
	ServerSilent time.Duration
	// Sole is set if this instance has no other attempt at the server.
	Sole bool
	// Elsewhere is the expected time to the first event at another server.
	Elsewhere time.Duration
}

const (
	// moveFactor is how many times the expected time an attempt is left alone, and how many times the expected time
	// elsewhere its remaining wait must be. A move gives up the place in the queue and repeats what was read.
	moveFactor = 2
	// silentShare and aliveShare are the parts of the objective for which an attempt is left alone beyond that, at a server
	// that is silent on all attempts and at one that answers others, which may only be busy.
	silentShare = 8
	aliveShare  = 2
	// minOverdue is the least time beyond it; pauses of that length are common in servers and networks.
	minOverdue = 200 * time.Millisecond
)

// MoveDelay returns what is left until the attempt should be given up and the request sent to another server. As nothing is
// known of the server's state, the wait that is left is taken for as long as the attempt is overdue.
func MoveDelay(route relay.Route, w Waiting) time.Duration {
	share := time.Duration(silentShare)
	if w.ServerSilent < w.Waited {
		share = aliveShare
	}
	overdue := max(minOverdue, cmp.Or(route.Objective, defaultObjective)/share)
	if w.Sole {
		overdue *= soleAttemptFactor
	}
	return max(moveFactor*w.Expected+overdue, w.Expected+moveFactor*w.Elsewhere) - w.Waited
}
