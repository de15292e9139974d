package query

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

// takeoverInterval is the time between the attempts of two instances to take over a vacant duty.
const takeoverInterval = 250 * time.Millisecond

// TakeoverDelay returns how long this instance waits before it tries to take over the duty for the
// service's roll-out, and false if an instance holds the duty. The delays differ, so that the
// instances try one after another.
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
	return time.Duration(min(before, maxTurns)) * takeoverInterval, true
}

// maxTurns bounds the delay in a large fleet; the instances after that turn all try at the same time.
const maxTurns = 8

// turnHash orders the instances, differently for each service.
func turnHash(service relay.ServiceName, member relay.MemberName) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(member))
}
