package query

import (
	"time"

	"endivehitch/core/relay"
)

const (
	// silentLeast is how long a server that streams must have been silent before a run there is given up.
	silentLeast = 1200 * time.Millisecond
	// loneFactor multiplies that time where this instance has one run at the server only, so that the
	// server's silence tells no more than the run's own.
	loneFactor = 2
	// stallGaps is how many of the route's pauses a stream may stall at a server that answers others.
	stallGaps = 2
	// slowObjectives is how many objectives a request may wait at a server that answers others.
	slowObjectives = 2
)

// Patience returns how much longer a run may stay silent where another server could go on, and zero
// once it should be given up: begun is set once the caller has received a part, serverSilent is how
// long the server has sent this instance nothing on any run, and silent how long this run has been
// silent; lone is set when this instance has no other run at the server.
//
// A server that is busy is slow for all, and a request that starts over elsewhere makes it worse, so
// only a server that seems to be dead is left early.
func Patience(r relay.Route, begun, lone bool, serverSilent, silent time.Duration) time.Duration {
	if !r.Stream {
		return r.Objective*4/5 - silent
	}
	dead := max(silentLeast, r.Objective*2/5)
	slow := slowObjectives * r.Objective
	if begun {
		dead = max(silentLeast, r.Gap*3/2)
		slow = stallGaps * r.Gap
	}
	if lone {
		dead *= loneFactor
	}
	return min(max(dead-serverSilent, dead-silent), slow-silent)
}
