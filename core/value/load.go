package value

import "time"

// Load is what an instance knows of one backend server's state.
type Load struct {
	// InFlight counts this instance's own requests at the server.
	InFlight int
	// FirstToken is the smoothed time to the first token.
	FirstToken time.Duration
	// Observed is when FirstToken was last fed.
	Observed time.Time
	// Failures counts failures in a row.
	Failures int
	// Ejected is until when the server gets no new work; zero means it is not ejected.
	Ejected time.Time
	// ReportedQueue is the queue length in the server's own last report.
	ReportedQueue int
	// Reported is when that report was made.
	Reported time.Time
	// Limit is the present bound on this instance's concurrent requests; zero means none.
	Limit int
}

// WithInFlight returns a copy with a changed count of requests in flight.
func (l Load) WithInFlight(delta int) Load {
	l.InFlight += delta
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
