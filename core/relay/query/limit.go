package query

import (
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/place"
)

// Restrictions holds what an instance knows of the servers' backpressure.
type Restrictions = policy.Table[relay.ServerID, relay.Restriction]

// LimitKeeper returns the instance that grants the fleet's requests to a server that has stated a limit, so that shares of the
// limit follow from who sends. One that isn't registered itself asks a registered one, as the others do.
func LimitKeeper(state relay.State, server relay.ServerID) relay.Member {
	if len(state.Members()) == 0 {
		return state.Self
	}
	return rankMembers(state.Members(), string(server), 1)[0]
}

// coldKeepers is the number of instances that may be asked for a request to a cold server.
const coldKeepers = 2

// ColdKeepers returns the instances that grant the fleet's requests to a cold server, in the order in which they are asked.
// An instance that knows no registered one may be one of many that don't, so there is no keeper then.
func ColdKeepers(state relay.State, server relay.ServerID) []relay.Member {
	return rankMembers(state.Members(), string(server), coldKeepers)
}

// IsColdKeeper reports whether this instance has the role for a cold server, as far as it knows.
func IsColdKeeper(state relay.State, server relay.ServerID, role cold.Role) bool {
	keepers := ColdKeepers(state, server)
	return int(role) < len(keepers) && keepers[role].Name == state.Self.Name
}

// maxListAge is the time without an answer of the store to any instance from which this one may have been replaced as a keeper
// without knowing. The store keeps the entry of an instance that it doesn't hear from for more than twice as long.
const maxListAge = 8 * time.Second

// KnowsMembers reports whether the instance knows the list of instances that the others know, from the store or from others
// that read it.
func KnowsMembers(state relay.State, now time.Time) bool {
	answeredAt := latest(state.StoreAnsweredAt, state.StoreUnreachableSince)
	return answeredAt.IsZero() || now.Sub(answeredAt) < maxListAge
}

// rankMembers returns the n instances that rank highest for the subject.
func rankMembers(members []relay.Member, subject string, n int) []relay.Member {
	top := policy.NewTop[relay.MemberName](subject, n)
	for _, m := range members {
		top.Offer(m.Name)
	}
	var ranked []relay.Member
	for _, name := range top.Keys() {
		i := slices.IndexFunc(members, func(m relay.Member) bool { return m.Name == name })
		ranked = append(ranked, members[i])
	}
	return ranked
}

// unkeptShare is the share of a limit that all instances together may use without its keeper, who may grant all of it to
// others meanwhile.
const unkeptShare = 0.5

// LimitShare returns the part of a server's limit that this instance may use while it can't reach the keeper.
func LimitShare(state relay.State, limit float64) float64 {
	return limit * unkeptShare / float64(max(1, len(state.Members())))
}

// OpenShare returns the share of the service's servers, from 0 to 1, that are not closed by a limit or a pause of their own,
// or by an evacuation.
// The others have to take the requests of all.
func OpenShare(state relay.State, service relay.ServiceName, restrictions Restrictions, now time.Time) float64 {
	closed := countEvacuated(state, service)
	for id, restriction := range restrictions.Unordered() {
		if server, ok := state.Server(id); ok && server.Service == service && !restriction.Allows(server, now) && !place.IsEvacuated(state, server.Domain) {
			closed++
		}
	}
	return 1 - float64(closed)/float64(max(1, len(state.Servers(service))))
}

func countEvacuated(state relay.State, service relay.ServiceName) int {
	if len(state.Evacuations()) == 0 {
		return 0
	}
	n := 0
	for _, server := range state.Servers(service) {
		if place.IsEvacuated(state, server.Domain) {
			n++
		}
	}
	return n
}

const (
	// minClosedRetryAfter and maxClosedRetryAfter bound what a caller is told if all servers are closed to new requests.
	minClosedRetryAfter = 100 * time.Millisecond
	maxClosedRetryAfter = 2 * time.Second
)

// ClosedRefusal returns the refusal of a request that no server has taken, if each server of the service has a limit, is
// cold, is closed for now, is evacuated or is in a region that the request may not reach. It reports false if one has no
// restriction, or if there is none that will open.
func ClosedRefusal(view cold.View, service relay.ServiceName, regions place.Restriction, restrictions Restrictions) (relay.Refusal, bool) {
	var reopens time.Time
	now, places := view.Now, place.NewFilter(view.State, regions)
	for _, server := range view.State.Servers(service) {
		restriction, _ := restrictions.Get(server.ID)
		switch {
		case server.Draining || restriction.IsLeaving(server) || !places.Allows(server.Domain):
		case restriction.Allows(server, now) && !restriction.HasLimit && !view.IsCold(server):
			return relay.Refusal{}, false
		default:
			opens := latest(now, restriction.ReopensAt())
			if reopens.IsZero() || opens.Before(reopens) {
				reopens = opens
			}
		}
	}
	if reopens.IsZero() {
		return relay.Refusal{}, false
	}
	return relay.Refusal{
		Reason: relay.ReasonSaturated, NotRun: true, RetryAfter: min(max(minClosedRetryAfter, reopens.Sub(now)), maxClosedRetryAfter),
		Detail: "each server of " + string(service) + " is cold or has asked for a pause or for fewer requests",
	}, true
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
