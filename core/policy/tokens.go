package policy

import "time"

// TokenBucket bounds a rate; the zero value is empty and fills from its first use.
type TokenBucket struct {
	tokens float64
	// filledAt is the time for which tokens holds.
	filledAt time.Time
}

// TokenBucketConfig configures a TokenBucket.
type TokenBucketConfig struct {
	// PerSecond is the number of tokens that come in a second.
	PerSecond float64
	// Burst is the most tokens that are kept.
	Burst float64
}

// WithoutToken reports whether there is a token; the bucket returned lacks it then.
func (b TokenBucket) WithoutToken(c TokenBucketConfig, now time.Time) (TokenBucket, bool) {
	b = b.filled(c, now)
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// Wait returns the time until there is a token.
func (b TokenBucket) Wait(c TokenBucketConfig, now time.Time) time.Duration {
	missing := 1 - b.filled(c, now).tokens
	return max(0, time.Duration(missing/c.PerSecond*float64(time.Second)))
}

func (b TokenBucket) filled(c TokenBucketConfig, now time.Time) TokenBucket {
	if b.filledAt.IsZero() {
		b.filledAt = now
	}
	if passed := now.Sub(b.filledAt); passed > 0 {
		b.tokens = min(c.Burst, b.tokens+passed.Seconds()*c.PerSecond)
		b.filledAt = now
	}
	return b
}
