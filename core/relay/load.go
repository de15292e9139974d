package relay

import (
	"math"
	"time"

	"endivehitch/core/policy"
)

// Report is what a backend server says of its load in an answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at present, in hundredths of the usual time; 0 means unsaid.
	Pace int
}

// Load is what one instance has seen of one backend server.
type Load struct {
	// InFlight counts this instance's own requests at the server.
	InFlight int
	// Work is the time that the server is expected to need for those of them without a first byte.
	Work   time.Duration
	Report Report
	// Reported is when the report was made.
	Reported time.Time
	// Heard is when the server last sent this instance anything.
	Heard time.Time
	// First is the observed time until an answer's first byte.
	First policy.Smooth
	// Bad is the smoothed share of failures as of Judged.
	Bad    float64
	Judged time.Time
	// Failures counts failures in a row.
	Failures int
	// Shunned is until when the server gets work only when nothing else is left.
	Shunned time.Time
	// Ejections counts how often in a row the server was shunned.
	Ejections int
}

const (
	// badStep is the weight of one more answer in the share of failures.
	badStep = 0.2
	// badHalfLife is the age at which a share of failures counts half.
	badHalfLife = 3 * time.Second
)

// BadShare returns the share of failures, which fades so that a server is tried again.
func (l Load) BadShare(now time.Time) float64 {
	if l.Bad == 0 {
		return 0
	}
	return l.Bad * math.Exp2(-float64(now.Sub(l.Judged))/float64(badHalfLife))
}

func (l Load) withJudged(bad float64, at time.Time) Load {
	l.Bad = l.BadShare(at)*(1-badStep) + bad*badStep
	l.Judged = at
	return l
}

// WithStart returns a copy with one more request in flight.
func (l Load) WithStart(work time.Duration) Load {
	l.InFlight++
	l.Work += work
	return l
}

// WithFirst returns a copy whose run has had its first byte after the time.
func (l Load) WithFirst(c policy.SmoothConfig, work, after time.Duration, at time.Time) Load {
	l.Work = max(0, l.Work-work)
	l.First = l.First.With(c, after, at)
	return l
}

// WithoutWork returns a copy whose run ended before its first byte.
func (l Load) WithoutWork(work time.Duration) Load {
	l.Work = max(0, l.Work-work)
	return l
}

// WithHeard returns a copy whose server has sent something.
func (l Load) WithHeard(at time.Time) Load {
	l.Heard = at
	return l
}

// WithEnd returns a copy with one request in flight less.
func (l Load) WithEnd() Load {
	l.InFlight = max(0, l.InFlight-1)
	return l
}

// WithReport returns a copy that holds a newer report.
func (l Load) WithReport(r Report, at time.Time) Load {
	if at.Before(l.Reported) {
		return l
	}
	l.Report, l.Reported = r, at
	return l
}

// WithSuccess returns a copy that has answered well.
func (l Load) WithSuccess(at time.Time) Load {
	l.Failures, l.Ejections = 0, 0
	return l.withJudged(0, at)
}

// WithBadAnswer returns a copy whose server has answered that it failed.
func (l Load) WithBadAnswer(at time.Time) Load {
	return l.withJudged(1, at)
}

// WithFailure returns a copy that has failed once more, and is shunned after limit failures in a
// row, each time for longer, from base up to most.
func (l Load) WithFailure(limit int, base, most time.Duration, at time.Time) Load {
	l = l.withJudged(1, at)
	l.Failures++
	if l.Failures < limit {
		return l
	}
	l.Failures = 0
	l.Shunned = at.Add(min(most, base<<min(l.Ejections, 8)))
	l.Ejections++
	return l
}
