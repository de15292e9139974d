package query

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

// turnStep is how much later each further instance tries to take a vacant duty.
const turnStep = 250 * time.Millisecond

// Vacant reports whether nobody looks after the service's roll-out, and how long this instance
// leaves the duty to others, so that one at a time tries to take it.
func Vacant(s relay.State, n relay.ServiceName) (time.Duration, bool) {
	if _, held := s.Duty(n); held {
		return 0, false
	}
	own := turnOf(n, s.Self.Name)
	before := 0
	for _, m := range s.Members() {
		if m.Name != s.Self.Name && turnOf(n, m.Name) < own {
			before++
		}
	}
	return time.Duration(min(before, mostTurns)) * turnStep, true
}

// mostTurns bounds how long a duty stays vacant in a large fleet.
const mostTurns = 8

func turnOf(n relay.ServiceName, m relay.MemberName) uint64 {
	return xxhash.Sum64String(string(n) + "/" + string(m))
}
