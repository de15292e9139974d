package value

import "time"

// Rating is the rating service's verdict on one answer.
type Rating struct {
	Kind     KindName
	Version  VersionKey
	Accepted bool
	// Rate is the sampling rate, from 0 to 1, of answers with this verdict; zero means unknown.
	Rate float64
	At   time.Time
}

// WithRate returns a copy with another sampling rate.
func (r Rating) WithRate(rate float64) Rating {
	r.Rate = rate
	return r
}

// AttemptCounts counts finished attempts of one version, and those that count against it in a roll-out.
type AttemptCounts struct {
	Version VersionKey
	// Total counts all finished attempts, failed ones included.
	Total int
	// Failed counts the attempts that ended without a complete answer.
	Failed int
	// Slow counts the attempts that took longer than the roll-out allows.
	Slow int
	// Costly counts the attempts that cost more than the roll-out allows.
	Costly int
}

// WithAttempt returns a copy that counts one more attempt.
func (r AttemptCounts) WithAttempt(failed, slow, costly bool) AttemptCounts {
	r.Total++
	r.Failed += boolToInt(failed)
	r.Slow += boolToInt(slow)
	r.Costly += boolToInt(costly)
	return r
}

// WithCounts returns a copy that adds the other counts, for the version that they name.
func (r AttemptCounts) WithCounts(other AttemptCounts) AttemptCounts {
	other.Total += r.Total
	other.Failed += r.Failed
	other.Slow += r.Slow
	other.Costly += r.Costly
	return other
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
