package engine

import (
	"math"
	"time"
)

const (
	// usualPercent is the duration that a server of usual speed reports while nothing slows it down.
	usualPercent = 100
	// paceRecovery is the part of the difference by which the usual duration follows a longer one. A neighbour on the
	// server's machine slows it down for a moment, while its own speed rarely changes.
	paceRecovery = 0.02
	// paceInterval is the least time between two reports by which the usual duration follows, as other instances pass the same
	// report on.
	paceInterval = 100 * time.Millisecond
	// unequalPace is the ratio of the longest to the shortest usual duration from which servers count as unequal.
	unequalPace = 1.25
	// recentTime is the age up to which a report tells the present duration better than the usual one does.
	recentTime = 500 * time.Millisecond
)

// Pace is how long work takes at one server, as it reports it; the zero value is that of a server of usual speed.
type Pace struct {
	usual  float64
	latest float64
	at     time.Time
	// followedAt is when usual last followed a longer duration.
	followedAt time.Time
}

// With returns a pace that includes a report of the duration of work, in percent of the usual one; a duration that is not
// positive was not reported.
func (p Pace) With(percent int, at time.Time) Pace {
	if percent <= 0 {
		return p
	}
	p.latest, p.at = float64(percent), at
	if p.usual == 0 || p.latest < p.usual {
		p.usual = p.latest
		return p
	}
	if at.Sub(p.followedAt) >= paceInterval {
		p.usual += (p.latest - p.usual) * paceRecovery
		p.followedAt = at
	}
	return p
}

// Usual returns the factor by which work usually takes longer at the server than at one of usual speed.
func (p Pace) Usual() float64 {
	if p.usual == 0 {
		return 1
	}
	return p.usual / usualPercent
}

// Factor returns the factor by which work takes longer now: as in a recent report, or the usual one.
func (p Pace) Factor(now time.Time) float64 {
	if p.latest == 0 || now.Sub(p.at) >= recentTime {
		return p.Usual()
	}
	return p.latest / usualPercent
}

// IsUnequal reports whether servers with the paces differ so much in speed that where work runs matters by itself.
func IsUnequal(paces []Pace) bool {
	shortest, longest := math.Inf(1), 0.0
	for _, p := range paces {
		shortest, longest = min(shortest, p.Usual()), max(longest, p.Usual())
	}
	return longest >= unequalPace*shortest
}
