package policy

import "time"

// Backoff is the series of delays between tries: each longest delay doubles the one before, up to a limit.
type Backoff struct {
	// First is the longest first delay.
	First time.Duration
	// Limit is the longest delay of all.
	Limit time.Duration
	tries int
}

// WithFailure returns the series after one more failure.
func (b Backoff) WithFailure() Backoff {
	if b.ceiling() < b.Limit {
		b.tries++
	}
	return b
}

// WithFailures returns the series after so many more failures.
func (b Backoff) WithFailures(n int) Backoff {
	for range n {
		b = b.WithFailure()
	}
	return b
}

// WithSuccess returns the series from its start.
func (b Backoff) WithSuccess() Backoff {
	b.tries = 0
	return b
}

// Delay returns the next delay: between half of the present ceiling and all of it, so that
// clients that failed together do not come back together.
func (b Backoff) Delay(rnd Rand) time.Duration {
	half := b.ceiling() / 2
	if half <= 0 {
		return b.ceiling()
	}
	return half + time.Duration(rnd.IntN(int(half)+1))
}

func (b Backoff) ceiling() time.Duration {
	return min(b.First<<b.tries, b.Limit)
}
