package value

import (
	"math"
	"time"
)

// Judge describes the assessor of a cascade's first answers.
type Judge struct {
	// CostMicros is the price of one verdict in micro-units of currency.
	CostMicros int64
	// Latency is the expected time to a verdict.
	Latency time.Duration
	// AcceptGood is the share of acceptable answers that the judge accepts, from 0 to 1.
	AcceptGood float64
	// AcceptBad is the share of unacceptable answers that the judge accepts, from 0 to 1.
	AcceptBad float64
}

// Present reports whether there is a judge that can tell answers apart.
func (j Judge) Present() bool {
	return j.AcceptGood > j.AcceptBad
}

// Accepts returns the expected share of accepted answers at a quality.
func (j Judge) Accepts(quality float64) float64 {
	return quality*j.AcceptGood + (1-quality)*j.AcceptBad
}

// Quality returns the quality of a cascade from the qualities of its two steps.
func (j Judge) Quality(first, second float64) float64 {
	return first*j.AcceptGood + (1-j.Accepts(first))*second
}

// Spread returns how far a cascade's quality may lie below Quality where the qualities of its steps
// may lie below theirs by the given distances, independently of each other.
func (j Judge) Spread(first, second, below1, below2 float64) float64 {
	d1 := j.AcceptGood - second*(j.AcceptGood-j.AcceptBad)
	d2 := 1 - j.Accepts(first)
	return math.Hypot(d1*below1, d2*below2)
}

// Cost returns the expected cost in micro-units of currency of a cascade from the costs of its steps
// and the quality of its first one.
func (j Judge) Cost(first, second int64, quality float64) int64 {
	return first + j.CostMicros + int64((1-j.Accepts(quality))*float64(second))
}

// WithLatency returns a copy with another expected time to a verdict.
func (j Judge) WithLatency(latency time.Duration) Judge {
	j.Latency = latency
	return j
}
