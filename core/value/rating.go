package value

import "time"

// Rating is a verdict of the rating service on one answer.
type Rating struct {
	Kind     KindName
	Version  VersionKey
	Accepted bool
	// Rate is the share, from 0 to 1, at which answers with this verdict are rated; zero means unknown.
	Rate float64
	At   time.Time
}

// WithRate returns a copy with another sampling rate.
func (r Rating) WithRate(rate float64) Rating {
	r.Rate = rate
	return r
}

// Runs counts finished runs of one version and how many of them counted against it.
type Runs struct {
	Version VersionKey
	// Total counts the runs, failed ones included.
	Total int
	// Failed counts the runs that ended without a whole answer.
	Failed int
	// Slow counts the runs that took longer than the roll-out allows.
	Slow int
	// Costly counts the runs that cost more than the roll-out allows.
	Costly int
}

// WithRun returns a copy that counts one more run.
func (r Runs) WithRun(failed, slow, costly bool) Runs {
	r.Total++
	r.Failed += count(failed)
	r.Slow += count(slow)
	r.Costly += count(costly)
	return r
}

// WithRuns returns a copy that counts the other runs as well.
func (r Runs) WithRuns(other Runs) Runs {
	other.Total += r.Total
	other.Failed += r.Failed
	other.Slow += r.Slow
	other.Costly += r.Costly
	return other
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
