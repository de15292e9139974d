package policy

import (
	"math"
	"time"
)

// DecayingRate is an amount per second in which older amounts count less; the zero value has none.
type DecayingRate struct {
	// PerSecond is the rate as of At.
	PerSecond float64
	// At is the time of the latest amount.
	At time.Time
}

// With returns a rate that includes the amount.
func (r DecayingRate) With(halfLife time.Duration, amount float64, at time.Time) DecayingRate {
	return DecayingRate{PerSecond: r.Value(halfLife, at) + amount*math.Ln2/halfLife.Seconds(), At: at}
}

// Value returns the rate at the time.
func (r DecayingRate) Value(halfLife time.Duration, at time.Time) float64 {
	return r.PerSecond * decayFactor(halfLife, at.Sub(r.At))
}
