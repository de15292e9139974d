package value

import (
	"math"
	"time"
)

// Judge describes the judge that accepts or rejects the answer of a cascade's first step.
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

// IsUsable reports whether the judge accepts acceptable answers more often than unacceptable ones. The
// zero value, which stands for no judge, is not usable.
func (j Judge) IsUsable() bool {
	return j.AcceptGood > j.AcceptBad
}

// AcceptanceRate returns the expected share of a version's answers that the judge accepts, from the
// version's quality.
func (j Judge) AcceptanceRate(quality float64) float64 {
	return quality*j.AcceptGood + (1-quality)*j.AcceptBad
}

// Quality returns the expected quality of a cascade from the qualities of its two steps.
func (j Judge) Quality(first, second float64) float64 {
	return first*j.AcceptGood + (1-j.AcceptanceRate(first))*second
}

// QualityMargin returns the margin by which a cascade's quality may lie below Quality, from the margins of
// its two steps. The errors of the steps are taken as independent and are propagated to first order.
func (j Judge) QualityMargin(first, second, firstMargin, secondMargin float64) float64 {
	firstSlope := j.AcceptGood - second*(j.AcceptGood-j.AcceptBad)
	secondSlope := 1 - j.AcceptanceRate(first)
	return math.Hypot(firstSlope*firstMargin, secondSlope*secondMargin)
}

// Cost returns the expected cost in micro-units of currency of a cascade from the costs of its steps
// and the quality of its first one.
func (j Judge) Cost(first, second int64, quality float64) int64 {
	return first + j.CostMicros + int64((1-j.AcceptanceRate(quality))*float64(second))
}

// WithLatency returns a copy with another expected time to a verdict.
func (j Judge) WithLatency(latency time.Duration) Judge {
	j.Latency = latency
	return j
}
