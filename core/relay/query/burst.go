package query

import (
	"math"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
)

const (
	// burstsFrom is the time from which a new release gets its share of the traffic in bursts, as a fraction of the
	// order's Within. Before that, a release that fails whatever its load is found at a small share.
	burstsFrom = 0.12
	// burstOccupancy is the share of its slots that a server is to have in use in a burst at the most. It is above the half from
	// which a server counts as loaded, and leaves room for what the instances don't know of each other's requests.
	burstOccupancy = 0.75
)

// hasBursts reports whether the requests without a session go to the new release in bursts at present: for the share of
// the step's time that is its share of the traffic, all of them do. A release that fails under load shows it in bursts
// only, as its servers are nearly idle when the same number of requests is spread over time.
func hasBursts(state relay.State, rollOut relay.RollOutState, current step) bool {
	if current.burst == 0 || rollOut.Phase().IsFinal() {
		return false
	}
	candidates, baseline := serversByRelease(state, rollOut.Order)
	return len(candidates) > 0 && len(candidates) >= baseline
}

// isInBurst reports whether a burst of the step is under way.
func isInBurst(rollOut relay.RollOutState, current step, now time.Time) bool {
	return elapsedShare(rollOut, now) < current.from+current.share*(current.until-current.from)
}

// burstServers returns the servers to which the requests of a burst are confined, and none when there is no burst. They are
// as few as have room for the service's requests, and others in each burst, so that no single server decides on its release.
func burstServers(state relay.State, service relay.ServiceName, release relay.Release, loads LoadLookup, now time.Time) []relay.ServerID {
	rollOut, ok := state.RollOut(service)
	if !ok || release == "" || release != rollOut.Order.Target {
		return nil
	}
	current := stepOf(state, rollOut, now)
	if !hasBursts(state, rollOut, current) || !isInBurst(rollOut, current, now) {
		return nil
	}
	requests := 0.0
	for _, server := range state.Servers(service) {
		requests += requestsAt(loads(server.ID).WithoutAnswered(), now)
	}
	candidates, _ := serversByRelease(state, rollOut.Order)
	slots := 0
	for _, server := range candidates {
		slots += server.Slots
	}
	room := burstOccupancy * float64(max(1, slots)) / float64(len(candidates))
	n := min(len(candidates), max(1, int(math.Ceil(requests/room))))
	ranked := rankServers(service, candidates, len(candidates))
	first := (current.burst - 1) * n % len(ranked)
	return slices.Concat(ranked[first:], ranked[:first])[:n]
}

// serversByRelease returns the servers of the order's release that take requests, and the number of those of other releases.
func serversByRelease(state relay.State, order relay.RollOut) (candidates []relay.Server, others int) {
	places := place.NewFilter(state, place.Restriction{})
	for _, server := range state.Servers(order.Service) {
		switch {
		case server.Draining, !places.Allows(server.Domain):
		case server.Release == order.Target:
			candidates = append(candidates, server)
		default:
			others++
		}
	}
	return candidates, others
}

// rankServers returns the identifiers of the n servers that rank highest for the service.
func rankServers(service relay.ServiceName, servers []relay.Server, n int) []relay.ServerID {
	top := policy.NewTop[relay.ServerID](string(service), n)
	for _, server := range servers {
		top.Offer(server.ID)
	}
	return top.Keys()
}
