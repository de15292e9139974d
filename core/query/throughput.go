package query

import (
	"time"

	"endivehitch/core/policy"
)

// Throughput measures the throughput of this instance's attempts at one target; the zero value has no
// samples.
type Throughput struct {
	inFlight int
	duration policy.DecayingMean
}

// WithStart returns a pace with one more attempt in flight.
func (p Throughput) WithStart() Throughput {
	p.inFlight++
	return p
}

// WithEnd returns a pace with one attempt less in flight.
func (p Throughput) WithEnd() Throughput {
	p.inFlight--
	return p
}

// WithAttempt returns a pace that includes a completed attempt of the given duration.
func (p Throughput) WithAttempt(duration time.Duration, at time.Time) Throughput {
	p.duration = p.duration.With(historySmoothing, duration, at)
	return p
}

// PerSecond returns how many attempts complete per second while all capacity is in use; zero means
// that it is not known.
//
// It is the number of attempts in flight divided by their mean duration. The rate of earlier
// completions would not do, because it shows the demand and not what the servers can handle.
func (p Throughput) PerSecond() float64 {
	if p.inFlight <= 0 || p.duration.Mean <= 0 {
		return 0
	}
	return float64(p.inFlight) / p.duration.Mean.Seconds()
}
