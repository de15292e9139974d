package relay

import (
	"math"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay/engine"
)

// Report is the load that a backend server reports with an answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// DurationPercent is how long work takes at present, in percent of the usual time; 0 means not
	// reported.
	DurationPercent int
}

// IsLoaded reports whether at least half of the server's slots are taken.
func (r Report) IsLoaded() bool {
	return r.Slots > 0 && 2*(r.Running+r.Waiting) >= r.Slots
}

// ServerReport is a backend server's report as one instance passes it on to others.
type ServerReport struct {
	Server ServerID
	Report Report
	// Age is how long ago the server made the report.
	Age time.Duration
	// Limit is the server's limit in requests a second, valid if HasLimit is set, and LimitAge how long ago it was stated.
	Limit    float64
	HasLimit bool
	LimitAge time.Duration
	// Leaving is set if the server, in the incarnation that started at Born, has said that it shuts down. The entry of that
	// incarnation has been gone for the time Unlisted; zero means that it is listed.
	Leaving  bool
	Born     time.Time
	Unlisted time.Duration
	// Lost is set if a connection to the server, in the incarnation that started at LostBorn, was refused or reset LostAge
	// ago.
	Lost     bool
	LostAge  time.Duration
	LostBorn time.Time
	// Reached is set if the server has answered again since it was lost or its failure domain reopened, for the first time
	// ReachedAge ago.
	Reached    bool
	ReachedAge time.Duration
	// Cold is set if the server stated ColdAge ago that it is cold, which ends after ColdRemaining from now on.
	Cold          bool
	ColdAge       time.Duration
	ColdRemaining time.Duration
}

// IsLoadOnly reports whether the report holds nothing but the server's load.
func (r ServerReport) IsLoadOnly() bool {
	return !r.HasLimit && !r.Leaving && !r.Lost && !r.Reached && !r.Cold
}

// Load is what one instance has observed of one backend server.
type Load struct {
	// InFlight counts this instance's own requests in flight at the server.
	InFlight int
	// Work is the expected time to first byte, summed over those requests that have not received
	// theirs yet.
	Work   time.Duration
	Report Report
	// ReportedAt is when the report was made.
	ReportedAt time.Time
	// Pace is how long work takes at the server relative to others.
	Pace engine.Pace
	// LastReceived is when this instance last received anything from the server.
	LastReceived time.Time
	// TimeToFirstByte is the smoothed time until an answer's first byte.
	TimeToFirstByte policy.DecayingMean
	// FailureRate is the smoothed share of failures, from 0 to 1, as of FailureRateAt.
	FailureRate   float64
	FailureRateAt time.Time
	// ConsecutiveFailures counts the failures in a row since the last success or ejection.
	ConsecutiveFailures int
	// EjectedUntil is when the server's ejection ends; until then it gets requests only when no
	// other server can take them.
	EjectedUntil time.Time
	// Ejections counts the ejections since the last success.
	Ejections int
}

const (
	// failureRateWeight is the weight of the newest outcome in the failure rate.
	failureRateWeight = 0.2
	// failureRateHalfLife is the time in which the failure rate decays to half.
	failureRateHalfLife = 3 * time.Second
)

// DecayedFailureRate returns the failure rate, decayed over time so that a failed server is retried.
func (l Load) DecayedFailureRate(now time.Time) float64 {
	if l.FailureRate == 0 {
		return 0
	}
	return l.FailureRate * math.Exp2(-float64(now.Sub(l.FailureRateAt))/float64(failureRateHalfLife))
}

func (l Load) withOutcome(failure float64, at time.Time) Load {
	l.FailureRate = l.DecayedFailureRate(at)*(1-failureRateWeight) + failure*failureRateWeight
	l.FailureRateAt = at
	return l
}

// WithStart returns a copy with one more request in flight, which is expected to take the given work
// until its first byte.
func (l Load) WithStart(work time.Duration) Load {
	l.InFlight++
	l.Work += work
	return l
}

// WithFirstByte returns a copy in which an attempt, started with the given work, has received its
// first byte after the elapsed time.
func (l Load) WithFirstByte(config policy.DecayingMeanConfig, work, elapsed time.Duration, at time.Time) Load {
	l.Work = max(0, l.Work-work)
	l.TimeToFirstByte = l.TimeToFirstByte.With(config, elapsed, at)
	return l
}

// WithoutWork returns a copy in which an attempt, started with the given work, ended before its
// first byte.
func (l Load) WithoutWork(work time.Duration) Load {
	l.Work = max(0, l.Work-work)
	return l
}

// WithReceived returns a copy that records that the server has sent something.
func (l Load) WithReceived(at time.Time) Load {
	l.LastReceived = at
	return l
}

// WithEnd returns a copy with one request less in flight.
func (l Load) WithEnd() Load {
	l.InFlight = max(0, l.InFlight-1)
	return l
}

// WithReport returns a copy that holds the report, unless it holds a newer one.
func (l Load) WithReport(r Report, at time.Time) Load {
	if at.Before(l.ReportedAt) {
		return l
	}
	l.Report, l.ReportedAt = r, at
	l.Pace = l.Pace.With(r.DurationPercent, at)
	return l
}

// WithoutAnswered returns a copy whose report leaves out the request with whose answer it came.
func (l Load) WithoutAnswered() Load {
	l.Report.Running = max(0, l.Report.Running-1)
	return l
}

// WithSuccess returns a copy in which the server has answered successfully.
func (l Load) WithSuccess(at time.Time) Load {
	l.ConsecutiveFailures, l.Ejections = 0, 0
	return l.withOutcome(0, at)
}

// WithErrorAnswer returns a copy in which the server has answered with an error; it counts in the
// failure rate only, not towards ejection.
func (l Load) WithErrorAnswer(at time.Time) Load {
	return l.withOutcome(1, at)
}

// WithFailure returns a copy in which the server has failed once more. After limit failures in a row
// it is ejected, for base at first and twice as long with each further ejection, up to longest.
func (l Load) WithFailure(limit int, base, longest time.Duration, at time.Time) Load {
	l = l.withOutcome(1, at)
	l.ConsecutiveFailures++
	if l.ConsecutiveFailures < limit {
		return l
	}
	l.ConsecutiveFailures = 0
	l.EjectedUntil = at.Add(min(longest, base<<min(l.Ejections, 8)))
	l.Ejections++
	return l
}
