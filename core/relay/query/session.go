package query

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
)

const (
	// minKeepers is the number of instances that keep the fleet's record of sessions; a large fleet has
	// one for each membersPerKeeper instances.
	minKeepers       = 8
	membersPerKeeper = 24
	// keepersSubject ranks the members that are keepers.
	keepersSubject = "session-keepers"
)

// IsCanarySession reports whether the session, as a new one, would be sent to a release in its canary
// period. These few sessions alone are recorded for the fleet: the requests of a session reach different
// instances, and one that doesn't know a session would otherwise send it to the new release in the midst
// of its requests to the old one.
func IsCanarySession(state relay.State, session string) bool {
	return session != "" && isInShare(xxhash.Sum64String(session), canaryShareOf(len(state.Members())))
}

// NeedsSessionRecord reports whether the release of a session that this instance doesn't know depends on
// the fleet's record of it.
func NeedsSessionRecord(state relay.State, service relay.ServiceName, session string, now time.Time) bool {
	rollOut, ok := state.RollOut(service)
	if !ok || rollOut.Order.Target == "" || rollOut.Phase().IsFinal() || !IsCanary(rollOut, now) {
		return false
	}
	return IsCanarySession(state, session) && BaselineRelease(state, service) != ""
}

// BaselineRelease returns the release that the service ran before its roll-out, or "" if there is none.
func BaselineRelease(state relay.State, service relay.ServiceName) relay.Release {
	rollOut, _ := state.RollOut(service)
	previous, _ := releases(state, service, rollOut.Order.Target, place.Filter{})
	return previous
}

// SessionKeeper returns the instance that keeps the record of the session, and false if no instance is
// known.
func SessionKeeper(state relay.State, session string) (relay.Member, bool) {
	members := state.Members()
	keepers := policy.NewTop[relay.MemberName](keepersSubject, max(minKeepers, len(members)/membersPerKeeper))
	for _, m := range members {
		keepers.Offer(m.Name)
	}
	best := policy.NewTop[relay.MemberName](session, 1)
	for _, name := range keepers.Keys() {
		best.Offer(name)
	}
	name := append(best.Keys(), "")[0]
	i := slices.IndexFunc(members, func(m relay.Member) bool { return m.Name == name })
	if i < 0 {
		return relay.Member{}, false
	}
	return members[i], true
}
