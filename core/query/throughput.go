package query

import (
	"time"

	"endivehitch/core/policy"
)

// Throughput measures the throughput of this instance's attempts at one target; the zero value has
// no samples.
type Throughput struct {
	inFlight int
	duration policy.DecayingMean
}

// WithStart returns a throughput with one more attempt in flight.
func (t Throughput) WithStart() Throughput {
	t.inFlight++
	return t
}

// WithEnd returns a throughput with one attempt less in flight.
func (t Throughput) WithEnd() Throughput {
	t.inFlight--
	return t
}

// WithAttempt returns a throughput that includes a completed attempt of the given duration.
func (t Throughput) WithAttempt(duration time.Duration, at time.Time) Throughput {
	t.duration = t.duration.With(historySmoothing, duration, at)
	return t
}

// PerSecond returns how many attempts complete per second while all capacity is in use; zero means
// that it is not known.
//
// It is the number of attempts in flight divided by their mean duration. The rate of earlier
// completions would not do, because it shows the demand and not what the servers can handle.
func (t Throughput) PerSecond() float64 {
	if t.inFlight <= 0 || t.duration.Mean <= 0 {
		return 0
	}
	return float64(t.inFlight) / t.duration.Mean.Seconds()
}
