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

// AttemptCounts counts finished attempts of one version, and those of them that count against it in a
// roll-out.
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
func (c AttemptCounts) WithAttempt(failed, slow, costly bool) AttemptCounts {
	c.Total++
	c.Failed += boolToInt(failed)
	c.Slow += boolToInt(slow)
	c.Costly += boolToInt(costly)
	return c
}

// WithCounts returns the sum of both counts; its version is that of the other counts.
func (c AttemptCounts) WithCounts(other AttemptCounts) AttemptCounts {
	other.Total += c.Total
	other.Failed += c.Failed
	other.Slow += c.Slow
	other.Costly += c.Costly
	return other
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
