package value

import (
	"slices"
	"time"

	"endivehitch/core/policy"
)

// Load is what this instance knows of the load and health of one backend server.
//
// The first part of an answer is its first token, or its first byte from a plain service.
type Load struct {
	// InFlight counts this instance's own requests at the server.
	InFlight int
	// LongInFlight counts those of them that are expected to take long.
	LongInFlight int
	// WaitingSince holds the start times of the attempts that wait for the first part, oldest first.
	WaitingSince []time.Time
	// TimeToFirstToken is the decaying mean of the time to the first part, scaled to a typical request.
	TimeToFirstToken policy.DecayingMean
	// Failures counts consecutive failures since the latest first part or ejection.
	Failures int
	// Ejections counts consecutive ejections since the server last recovered.
	Ejections int
	// EjectedUntil is the end of the latest ejection; zero means that the server was never ejected.
	EjectedUntil time.Time
	// ReportedQueue is the queue length in the server's latest load report.
	ReportedQueue int
	// ReportedAt is the time of that report.
	ReportedAt time.Time
	// Limiter bounds this instance's concurrent requests at the server.
	Limiter policy.Limiter
}

// WithStart returns a copy with one more request in flight, started at the given time.
func (l Load) WithStart(long bool, at time.Time) Load {
	l.InFlight++
	if long {
		l.LongInFlight++
	}
	l.WaitingSince = append(slices.Clip(l.WaitingSince), at)
	return l
}

// WithEnd returns a copy with one request fewer in flight: the one started at the given time.
func (l Load) WithEnd(long bool, started time.Time) Load {
	l.InFlight = max(0, l.InFlight-1)
	if long {
		l.LongInFlight = max(0, l.LongInFlight-1)
	}
	return l.withoutWaiting(started)
}

// WithFirstToken returns a copy that counts the first part of the attempt started at the given time. The
// delay is the time that it took, scaled to a typical request.
func (l Load) WithFirstToken(c policy.DecayingMeanConfig, started, at time.Time, delay time.Duration) Load {
	l = l.withoutWaiting(started)
	l.TimeToFirstToken = l.TimeToFirstToken.With(c, delay, at)
	l.Failures = 0
	return l
}

// WithFailure returns a copy with one more consecutive failure.
func (l Load) WithFailure() Load {
	l.Failures++
	return l
}

// WithEjection returns a copy that is ejected until the given time.
func (l Load) WithEjection(until time.Time) Load {
	l.EjectedUntil = until
	l.Ejections++
	l.Failures = 0
	return l
}

// WithRecovery returns a copy that has recovered, so that the next ejection counts as the first.
func (l Load) WithRecovery() Load {
	l.Ejections = 0
	return l
}

// WithLimiter returns a copy with another limiter of concurrent requests.
func (l Load) WithLimiter(next policy.Limiter) Load {
	l.Limiter = next
	return l
}

// WithReport returns a copy with the load report, unless the present one is newer.
func (l Load) WithReport(queue int, at time.Time) Load {
	if at.Before(l.ReportedAt) {
		return l
	}
	l.ReportedQueue = queue
	l.ReportedAt = at
	return l
}

// OldestWait returns the longest time that an attempt has been waiting for the first part.
func (l Load) OldestWait(now time.Time) time.Duration {
	if len(l.WaitingSince) == 0 {
		return 0
	}
	return now.Sub(l.WaitingSince[0])
}

func (l Load) withoutWaiting(started time.Time) Load {
	i := slices.IndexFunc(l.WaitingSince, started.Equal)
	if i >= 0 {
		l.WaitingSince = slices.Delete(slices.Clone(l.WaitingSince), i, i+1)
	}
	return l
}
