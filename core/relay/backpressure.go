package relay

import "time"

// Backpressure is what a backend server asks, in the head of an answer, of those that send requests to it.
type Backpressure struct {
	// Leaving is set once the server shuts down and takes no new requests.
	Leaving bool
	// Limit is the number of requests a second that it takes from all instances together, valid if HasLimit is set.
	Limit    float64
	HasLimit bool
	// RetryAfter is how long it wants nothing from this instance; zero means that it doesn't say so.
	RetryAfter time.Duration
	// IsPartial is set if the answer may not be the server's own, so that what it leaves out says nothing of the server.
	IsPartial bool
}

// IsEmpty reports whether the answer asks for nothing.
func (b Backpressure) IsEmpty() bool {
	b.IsPartial = false
	return b == Backpressure{}
}

// Restriction is what one instance knows of a server's backpressure; the zero value restricts nothing.
type Restriction struct {
	// Leaving is set once the server has said that it shuts down, and Born is the start of the incarnation that said so.
	Leaving bool
	Born    time.Time
	// UnlistedSince is when the entry of the server, or of the incarnation that leaves, was found to be gone; zero means that
	// it is listed.
	UnlistedSince time.Time
	// PausedUntil is the time until which the server wants nothing from this instance.
	PausedUntil time.Time
	// Limit is the fleet's limit, in requests a second, valid if HasLimit is set, as the server stated it at StatedAt.
	Limit    float64
	HasLimit bool
	StatedAt time.Time
	// NextClaim is the time until which the limit, or the rate of a cold server, leaves nothing for this instance.
	NextClaim time.Time
}

// maxPause bounds how long a server is left alone at its own request, as a faulty one may name any time.
const maxPause = time.Hour

// WithAnswer returns a restriction after an answer of the server, received at the time, to a request sent at sentAt.
func (r Restriction) WithAnswer(server Server, b Backpressure, sentAt, at time.Time) Restriction {
	if b.Leaving {
		r = r.WithLeaving(server.Born, time.Time{})
	}
	if b.RetryAfter > 0 {
		r.PausedUntil = later(r.PausedUntil, at.Add(min(b.RetryAfter, maxPause)))
	}
	return r.withStatedLimit(b, sentAt, at)
}

// withStatedLimit returns a restriction after the server has stated a limit, or none, between sentAt and the time. Answers on
// different connections may overtake each other, so one to a request that was sent before the known statement may be older than
// that, and lifts or raises no limit.
func (r Restriction) withStatedLimit(b Backpressure, sentAt, at time.Time) Restriction {
	isWeaker := r.HasLimit && (!b.HasLimit || b.Limit > r.Limit)
	switch {
	case !b.HasLimit && (b.IsPartial || !r.HasLimit):
		return r
	case isWeaker && !sentAt.After(r.StatedAt):
		return r
	case !b.HasLimit:
		r.NextClaim = time.Time{}
	}
	r.Limit, r.HasLimit, r.StatedAt = b.Limit, b.HasLimit, later(r.StatedAt, at)
	return r
}

// WithReportedLimit returns a restriction with the limit that the server stated to another instance, at the time or up to
// sameEventTime before, as the age of a report doesn't include its own time on the network. One that may be older than the known
// statement only lowers a limit.
func (r Restriction) WithReportedLimit(limit float64, at time.Time) Restriction {
	mayBeOlder := at.Sub(r.StatedAt) <= sameEventTime
	if mayBeOlder && (!r.HasLimit || limit >= r.Limit) {
		return r
	}
	r.Limit, r.HasLimit, r.StatedAt = limit, true, later(r.StatedAt, at)
	return r
}

// WithLeaving returns a restriction of a server whose incarnation, started at born, shuts down, unless a newer one is known to.
// The incarnation's entry has been gone since unlistedSince, or is listed if that is zero.
func (r Restriction) WithLeaving(born, unlistedSince time.Time) Restriction {
	if r.Leaving && !born.After(r.Born) {
		return r
	}
	r.Leaving, r.Born, r.UnlistedSince = true, born, unlistedSince
	return r
}

// unlistedLifetime is how long a restriction is known after the server's entry is gone. The store may carry out a heartbeat
// late, which brings the entry back; a server that leaves still serves then, but for some seconds only.
const unlistedLifetime = 10 * time.Minute

// WithEntry returns what is still known at the time of a server that is listed as given, or not at all. A listed server may be
// a newer incarnation than the one that leaves.
func (r Restriction) WithEntry(server Server, isListed bool, at time.Time) Restriction {
	// A server that doesn't say when it started may have been started anew while its entry was gone.
	isUncertain := r.Leaving && r.Born.IsZero() && !r.UnlistedSince.IsZero()
	switch {
	case isListed && !isUncertain && (!r.Leaving || r.IsLeaving(server)):
		r.UnlistedSince = time.Time{}
	case r.UnlistedSince.IsZero():
		r.UnlistedSince = at
	case at.Sub(r.UnlistedSince) < unlistedLifetime:
	case isListed:
		r.Leaving, r.Born, r.UnlistedSince = false, time.Time{}, time.Time{}
	default:
		return Restriction{}
	}
	return r
}

// minLimit is the limit, in requests a second, that is assumed for a server that states a lower one. Without any request
// nobody would learn that it has lifted its limit.
const minLimit = 0.2

// FleetLimit returns the limit that the fleet keeps to, in requests a second.
func (r Restriction) FleetLimit() float64 {
	return max(r.Limit, minLimit)
}

// WithDenial returns a restriction after the limit left nothing for this instance until the time.
func (r Restriction) WithDenial(until time.Time) Restriction {
	r.NextClaim = until
	return r
}

// Allows reports whether a request may be sent to the server now, provided that its limit leaves room for it.
func (r Restriction) Allows(server Server, now time.Time) bool {
	return !r.IsLeaving(server) && !now.Before(r.ReopensAt())
}

// IsLeaving reports whether the server is the incarnation that said it shuts down.
func (r Restriction) IsLeaving(server Server) bool {
	return r.Leaving && r.Born.Equal(server.Born)
}

// ReopensAt returns the time from which a request may be sent to the server, unless it shuts down.
func (r Restriction) ReopensAt() time.Time {
	return later(r.PausedUntil, r.NextClaim)
}

// UnlistedFor returns for how long the server's entry has been gone, or zero if it is listed.
func (r Restriction) UnlistedFor(now time.Time) time.Duration {
	if r.UnlistedSince.IsZero() {
		return 0
	}
	return max(1, now.Sub(r.UnlistedSince))
}

// IsNeeded reports whether the restriction still says anything.
func (r Restriction) IsNeeded(now time.Time) bool {
	isLifted := !r.HasLimit && now.Sub(r.StatedAt) <= 2*sameEventTime
	return r.HasLimit || isLifted || r.Leaving || now.Before(r.ReopensAt())
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
