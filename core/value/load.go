package value

import (
	"slices"
	"time"

	"endivehitch/core/policy"
)

// Load is what an instance knows of one backend server's state.
type Load struct {
	// InFlight counts this instance's own requests at the server.
	InFlight int
	// Long counts those of them that are expected to run long.
	Long int
	// Waiting lists when the runs without a first piece were started, oldest first.
	Waiting []time.Time
	// FirstToken is the observed time to the first piece of an answer.
	FirstToken policy.Smooth
	// Failures counts failures in a row.
	Failures int
	// Ejections counts ejections without a normal answer in between.
	Ejections int
	// Ejected is until when the server gets no new work; zero means it was never ejected.
	Ejected time.Time
	// ReportedQueue is the queue length in the server's own last report.
	ReportedQueue int
	// Reported is when that report was made.
	Reported time.Time
	// Limiter bounds this instance's concurrent requests.
	Limiter policy.Limiter
}

// WithStart returns a copy with one more request in flight.
func (l Load) WithStart(long bool, at time.Time) Load {
	l.InFlight++
	if long {
		l.Long++
	}
	l.Waiting = append(slices.Clip(l.Waiting), at)
	return l
}

// WithEnd returns a copy with one request in flight less.
func (l Load) WithEnd(long bool, started time.Time) Load {
	l.InFlight = max(0, l.InFlight-1)
	if long {
		l.Long = max(0, l.Long-1)
	}
	return l.withoutWaiting(started)
}

// WithFirst returns a copy in which the run that was started then has had its first piece, after
// the given time in terms of a typical run.
func (l Load) WithFirst(c policy.SmoothConfig, started, at time.Time, after time.Duration) Load {
	l = l.withoutWaiting(started)
	l.FirstToken = l.FirstToken.With(c, after, at)
	l.Failures = 0
	return l
}

// WithFailure returns a copy with one more failure in a row.
func (l Load) WithFailure() Load {
	l.Failures++
	return l
}

// WithEjection returns a copy that gets no new work until the given time.
func (l Load) WithEjection(until time.Time) Load {
	l.Ejected = until
	l.Ejections++
	l.Failures = 0
	return l
}

// WithRecovery returns a copy that counts as normal again.
func (l Load) WithRecovery() Load {
	l.Ejections = 0
	return l
}

// WithLimiter returns a copy with another bound on concurrent requests.
func (l Load) WithLimiter(next policy.Limiter) Load {
	l.Limiter = next
	return l
}

// WithReport returns a copy that holds a newer load report.
func (l Load) WithReport(queue int, at time.Time) Load {
	if at.Before(l.Reported) {
		return l
	}
	l.ReportedQueue = queue
	l.Reported = at
	return l
}

// OldestWait returns how long the oldest run has waited for its first piece.
func (l Load) OldestWait(now time.Time) time.Duration {
	if len(l.Waiting) == 0 {
		return 0
	}
	return now.Sub(l.Waiting[0])
}

func (l Load) withoutWaiting(started time.Time) Load {
	i := slices.IndexFunc(l.Waiting, started.Equal)
	if i >= 0 {
		l.Waiting = slices.Delete(slices.Clone(l.Waiting), i, i+1)
	}
	return l
}
