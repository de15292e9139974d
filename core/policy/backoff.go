package policy

import "time"

// Backoff is an exponential backoff with jitter: each failure doubles the upper bound of the delay
// before the next attempt, up to a limit.
type Backoff struct {
	// InitialDelay is the upper bound of the first delay.
	InitialDelay time.Duration
	// MaxDelay caps the upper bound.
	MaxDelay time.Duration
	failures int
}

// WithFailure returns the backoff after one more failure.
func (b Backoff) WithFailure() Backoff {
	if b.ceiling() < b.MaxDelay {
		b.failures++
	}
	return b
}

// WithFailures returns the backoff after n more failures.
func (b Backoff) WithFailures(n int) Backoff {
	for range n {
		b = b.WithFailure()
	}
	return b
}

// WithSuccess returns the backoff without any failures.
func (b Backoff) WithSuccess() Backoff {
	b.failures = 0
	return b
}

// Delay returns a random delay between half of the present upper bound and all of it, so that clients
// that failed together do not retry together.
func (b Backoff) Delay(rnd Rand) time.Duration {
	half := b.ceiling() / 2
	if half <= 0 {
		return b.ceiling()
	}
	return half + time.Duration(rnd.IntN(int(half)+1))
}

func (b Backoff) ceiling() time.Duration {
	return min(b.InitialDelay<<b.failures, b.MaxDelay)
}
