package query

import (
	"time"

	"endivehitch/core/policy"
)

// Pace measures the throughput of this instance's attempts at one target; the zero value has no
// samples.
type Pace struct {
	inFlight int
	duration policy.Smooth
}

// WithStart returns a pace with one more attempt in flight.
func (p Pace) WithStart() Pace {
	p.inFlight++
	return p
}

// WithEnd returns a pace with one attempt less in flight.
func (p Pace) WithEnd() Pace {
	p.inFlight--
	return p
}

// WithRun returns a pace that includes a completed attempt of the given duration.
func (p Pace) WithRun(duration time.Duration, at time.Time) Pace {
	p.duration = p.duration.With(historySmoothing, duration, at)
	return p
}

// PerSecond returns how many attempts complete per second while all capacity is in use; zero means
// that it is not known.
//
// It is the number of attempts in flight divided by their mean duration. The rate of earlier
// completions would not do, because it shows the demand and not what the servers can handle.
func (p Pace) PerSecond() float64 {
	if p.inFlight <= 0 || p.duration.Mean <= 0 {
		return 0
	}
	return float64(p.inFlight) / p.duration.Mean.Seconds()
}
