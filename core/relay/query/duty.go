package query

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

// takeOverDelay is the time between the attempts of two instances to take over a vacant duty.
const takeOverDelay = 250 * time.Millisecond

// TakeoverDelay reports whether no instance holds the duty for the service's roll-out, and how long this
// one waits before it tries to take it; the waits differ, so that instances try one after another.
func TakeoverDelay(state relay.State, service relay.ServiceName) (time.Duration, bool) {
	if _, held := state.Duty(service); held {
		return 0, false
	}
	own := turnHash(service, state.Self.Name)
	before := 0
	for _, m := range state.Members() {
		if m.Name != state.Self.Name && turnHash(service, m.Name) < own {
			before++
		}
	}
	return time.Duration(min(before, maxTurns)) * takeOverDelay, true
}

// maxTurns bounds the wait in a large fleet; the instances after that turn all try at the same time.
const maxTurns = 8

// turnHash orders the instances, differently for each service.
func turnHash(service relay.ServiceName, member relay.MemberName) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(member))
}
