package query

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

const (
	// canary is the part of the traffic that a new release receives at first; a large fleet sees
	// enough answers with leastCanary.
	canary      = 0.08
	leastCanary = 0.02
	// canaryFleet is the number of instances up to which the whole canary's part is used.
	canaryFleet = 16
	// provedAt, halfAt and wholeAt are the parts of a roll-out's time at which the new release gets
	// more than the canary's part, half of the traffic, and all of it.
	provedAt = 0.52
	halfAt   = 0.60
	wholeAt  = 0.68
	// doneAt is the part of a roll-out's time at which it may be completed.
	doneAt = 0.80
)

// Share returns the part of the service's traffic, from 0 to 1, that the roll-out's release receives
// in a fleet of so many instances.
func Share(p relay.Plan, members int, now time.Time) float64 {
	switch p.Phase() {
	case relay.PhaseCompleted:
		return 1
	case relay.PhaseReverted:
		return 0
	}
	done := now.Sub(p.Seen).Seconds() / max(p.Order.Within.Seconds(), 1)
	switch {
	case done < provedAt:
		return max(leastCanary, canary/float64(1+members/canaryFleet))
	case done < halfAt:
		return 0.25
	case done < wholeAt:
		return 0.5
	}
	return 1
}

// Early reports whether the roll-out is in the time in which sessions stay where they are.
func Early(p relay.Plan, now time.Time) bool {
	return now.Sub(p.Seen) < time.Duration(provedAt*float64(p.Order.Within))
}

// Release returns the release that must run a request of the service, or empty for any; last is the
// release that the request's session ran on, and spread is a number that is even over requests.
func Release(s relay.State, n relay.ServiceName, session string, last relay.Release, spread uint64, now time.Time) relay.Release {
	p, ok := s.Plan(n)
	if !ok || p.Order.Target == "" {
		return ""
	}
	previous, newer := releases(s, n, p.Order.Target)
	switch {
	case !newer:
		return previous
	case previous == "" || p.Phase() == relay.PhaseCompleted:
		return p.Order.Target
	case p.Phase() == relay.PhaseReverted:
		return previous
	case last == p.Order.Target:
		return last
	case last != "" && Early(p, now):
		return last
	}
	if session != "" {
		spread = xxhash.Sum64String(session)
	}
	if float64(spread%spreadSteps) < Share(p, len(s.Members()), now)*spreadSteps {
		return p.Order.Target
	}
	return previous
}

const spreadSteps = 10000

// releases returns the release that the service ran before the target, and whether there are
// servers of the target.
func releases(s relay.State, n relay.ServiceName, target relay.Release) (relay.Release, bool) {
	var previous relay.Release
	newer := false
	for _, v := range s.Servers(n) {
		switch {
		case v.Draining:
		case v.Release == target:
			newer = true
		default:
			previous = v.Release
		}
	}
	return previous, newer
}
