package relay

import "time"

// Backpressure is what a backend server asks, in the head of an answer, of those that send requests to it.
type Backpressure struct {
	// Limit is the number of requests a second that it takes from all instances together, valid if HasLimit is set.
	Limit    float64
	HasLimit bool
}

// Restriction is what one instance knows of a server's backpressure; the zero value restricts nothing.
type Restriction struct {
	// Limit is the fleet's limit, in requests a second, valid if HasLimit is set, as the server stated it at StatedAt.
	Limit    float64
	HasLimit bool
	StatedAt time.Time
	// NextClaim is the time until which the limit leaves nothing for this instance.
	NextClaim time.Time
}

// WithAnswer returns a restriction after an answer of the server, received at the time.
func (r Restriction) WithAnswer(b Backpressure, at time.Time) Restriction {
	return r.WithLimit(b.Limit, b.HasLimit, at)
}

// WithLimit returns a restriction with the limit that the server stated at the time, or with none, unless a newer statement is
// known.
func (r Restriction) WithLimit(limit float64, hasLimit bool, at time.Time) Restriction {
	if at.Before(r.StatedAt) {
		return r
	}
	r.Limit, r.HasLimit, r.StatedAt = limit, hasLimit, at
	if !hasLimit {
		r.NextClaim = time.Time{}
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
func (r Restriction) Allows(now time.Time) bool {
	return !now.Before(r.ReopensAt())
}

// ReopensAt returns the time from which a request may be sent to the server.
func (r Restriction) ReopensAt() time.Time {
	return r.NextClaim
}
