package query

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/place"
)

const (
	// canaryShare is the share of the traffic that a new release receives during the canary period.
	// A large fleet gets enough answers with less, down to minCanaryShare.
	canaryShare    = 0.10
	minCanaryShare = 0.02
	// canaryFleet is the number of instances at which canaryShare is divided by two; every canaryFleet
	// instances more raise the divisor by one.
	canaryFleet = 16
	// canaryEnd is the end of the canary period, as a fraction of the order's Within: the time that the roll-out may take.
	canaryEnd = 0.52
)

// plan says how a roll-out proceeds; its times are fractions of the order's Within.
type plan struct {
	steps []step
	// completeAt is the time from which the roll-out may be completed.
	completeAt float64
}

// step is a period of a roll-out in which its release receives a constant share of the traffic.
type step struct {
	from, until float64
	// share is the share of the traffic, from 0 to 1.
	share float64
	// burst is the number of the burst in which the share is received, from 1; zero means that it is spread over the step.
	burst int
}

// planOf returns the plan of the service's roll-outs. Engines get a growing share, as their prefix caches have to fill
// before they can serve all requests. Other servers are ready for that at once, so their release gets little traffic until
// late, and one that isn't found to be bad by then still has received few requests.
func planOf(state relay.State, name relay.ServiceName) plan {
	canary := canaryShareOf(len(state.Members()))
	if service, _ := state.Service(name); service.Engine {
		return plan{completeAt: 0.80, steps: []step{
			{from: 0, until: canaryEnd, share: canary},
			{from: canaryEnd, until: 0.66, share: 0.25},
			{from: 0.66, until: 0.76, share: 0.5},
			{from: 0.76, until: math.Inf(1), share: 1},
		}}
	}
	return plan{completeAt: 0.94, steps: []step{
		{from: 0, until: burstsFrom, share: canary},
		{from: burstsFrom, until: canaryEnd, share: canary, burst: 1},
		{from: canaryEnd, until: 0.72, share: 0.15, burst: 2},
		{from: 0.72, until: 0.92, share: 0.20, burst: 3},
		{from: 0.92, until: math.Inf(1), share: 1},
	}}
}

// stepAt returns the step at the fraction of the order's Within.
func (p plan) stepAt(elapsed float64) step {
	i := slices.IndexFunc(p.steps, func(s step) bool { return elapsed < s.until })
	return p.steps[i]
}

// elapsedShare returns the time since the order, as a fraction of its Within.
func elapsedShare(rollOut relay.RollOutState, now time.Time) float64 {
	return now.Sub(rollOut.OrderedAt).Seconds() / max(rollOut.Order.Within.Seconds(), 1)
}

// stepOf returns the step of the roll-out at the time.
func stepOf(state relay.State, rollOut relay.RollOutState, now time.Time) step {
	return planOf(state, rollOut.Order.Service).stepAt(elapsedShare(rollOut, now))
}

// TrafficShare returns the share of the service's traffic, from 0 to 1, that the roll-out's release
// receives.
func TrafficShare(state relay.State, rollOut relay.RollOutState, now time.Time) float64 {
	switch rollOut.Phase() {
	case relay.PhaseCompleted:
		return 1
	case relay.PhaseReverted:
		return 0
	}
	return stepOf(state, rollOut, now).share
}

// canaryShareOf returns the share of the traffic, from 0 to 1, that a new release receives during the canary
// period in a fleet of the given number of instances.
func canaryShareOf(members int) float64 {
	return max(minCanaryShare, canaryShare/float64(1+members/canaryFleet))
}

// minCanaryServers is the least number of servers that a canary period is confined to, so that a single slow one does
// not decide on its release.
const minCanaryServers = 2

// CanaryServers returns the servers to which the requests of the release are confined while it is in its canary
// period, and none otherwise. There are so many that each gets about as many requests as one of the release before: a
// release that is slow seems fast on idle servers.
func CanaryServers(state relay.State, service relay.ServiceName, release relay.Release, now time.Time) []relay.ServerID {
	rollOut, ok := state.RollOut(service)
	if !ok || release == "" || release != rollOut.Order.Target || rollOut.Phase().IsFinal() || !IsCanary(rollOut, now) {
		return nil
	}
	candidates, baseline := serversByRelease(state, rollOut.Order)
	if baseline == 0 {
		// The release gets all requests, as the servers of the one before are evacuated or gone.
		return nil
	}
	share := canaryShareOf(len(state.Members()))
	n := max(minCanaryServers, int(math.Ceil(float64(baseline)*share/(1-share))))
	return rankServers(service, candidates, n)
}

// IsCanary reports whether the roll-out is in its canary period, in which sessions keep their
// release.
func IsCanary(rollOut relay.RollOutState, now time.Time) bool {
	return now.Sub(rollOut.OrderedAt) < time.Duration(canaryEnd*float64(rollOut.Order.Within))
}

// Release returns the release that must run a request of the service, or "" for any; only servers in the regions that the
// request may reach count.
//
// The parameter last is the release of the session's last request, or "". A session that is at the new
// release stays there unless the roll-out is reverted, and one at another release stays there during
// the canary period. Otherwise the hash of the session decides, or, without a session, uniform, a
// number that is uniformly distributed over requests.
func Release(state relay.State, service relay.ServiceName, regions place.Restriction, session string, last relay.Release, uniform uint64, now time.Time) relay.Release {
	rollOut, ok := state.RollOut(service)
	if !ok || rollOut.Order.Target == "" {
		return ""
	}
	previous, hasTarget := releases(state, service, rollOut.Order.Target, place.NewFilter(state, regions))
	switch {
	case !hasTarget:
		return previous
	case previous == "" || rollOut.Phase() == relay.PhaseCompleted:
		return rollOut.Order.Target
	case rollOut.Phase() == relay.PhaseReverted:
		return previous
	case last == rollOut.Order.Target:
		return last
	case last != "" && IsCanary(rollOut, now):
		return last
	}
	current := stepOf(state, rollOut, now)
	if session != "" {
		uniform = xxhash.Sum64String(session)
	} else if hasBursts(state, rollOut, current) {
		if isInBurst(rollOut, current, now) {
			return rollOut.Order.Target
		}
		return previous
	}
	if isInShare(uniform, current.share) {
		return rollOut.Order.Target
	}
	return previous
}

// isInShare reports whether the uniformly distributed number falls into the share, from 0 to 1.
func isInShare(uniform uint64, share float64) bool {
	return float64(uniform%shareSteps) < share*shareSteps
}

// shareSteps is the resolution at which traffic is split.
const shareSteps = 10000

// releases returns the release that the service ran before the target, and whether any server runs
// the target; draining servers and those in other failure domains than the given ones don't count. If servers
// run several other releases, that of the server with the highest identifier is returned.
func releases(state relay.State, service relay.ServiceName, target relay.Release, places place.Filter) (relay.Release, bool) {
	var previous relay.Release
	hasTarget := false
	for _, server := range state.Servers(service) {
		switch {
		case server.Draining, !places.Allows(server.Domain):
		case server.Release == target:
			hasTarget = true
		default:
			previous = server.Release
		}
	}
	return previous, hasTarget
}

// ReleaseBefore returns the release that the service ran before the given one, for a request that the given release's cold
// servers deny. It reports false unless the given one is being rolled out, has a cold server and another one has any.
func ReleaseBefore(view cold.View, service relay.ServiceName, regions place.Restriction, release relay.Release) (relay.Release, bool) {
	rollOut, ok := view.State.RollOut(service)
	if !ok || release == "" || release != rollOut.Order.Target {
		return "", false
	}
	hasCold := slices.ContainsFunc(view.State.Servers(service), func(server relay.Server) bool {
		return server.Release == release && view.IsCold(server)
	})
	previous, _ := releases(view.State, service, release, place.NewFilter(view.State, regions))
	return previous, hasCold && previous != ""
}
