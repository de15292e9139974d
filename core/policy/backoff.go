package policy

import "time"

// Backoff spaces tries by delays that double up to a bound, with full jitter.
type Backoff struct {
	// First bounds the delay before the second try.
	First time.Duration
	// Most bounds every delay.
	Most time.Duration
}

// Delay returns how long to wait after the given number of failed tries.
func (b Backoff) Delay(failed int, rnd Rand) time.Duration {
	bound := b.First
	for i := 1; i < failed && bound < b.Most; i++ {
		bound *= 2
	}
	bound = min(bound, b.Most)
	if bound <= 0 {
		return 0
	}
	return time.Duration(rnd.IntN(int(bound))) + 1
}
