package policy

import "math"

// Never is the score of something that must not be picked.
var Never = math.Inf(1)

// Rand yields random numbers; math/rand/v2's Rand is one.
type Rand interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// Sample picks the lowest score among a few random candidates.
type Sample[T any] struct {
	// Tries is how many candidates are compared.
	Tries int
	// Score rates a candidate; lower is better, and Never excludes it.
	Score func(T) float64
}

// Pick returns the best of a random few, or of all where those few are excluded; it fails when all are.
func (p Sample[T]) Pick(list []T, rnd Rand) (T, bool) {
	if len(list) == 0 {
		var none T
		return none, false
	}
	best, low := 0, Never
	for range p.Tries {
		i := rnd.IntN(len(list))
		if s := p.Score(list[i]); s < low {
			best, low = i, s
		}
	}
	if low < Never {
		return list[best], true
	}
	return p.scan(list)
}

func (p Sample[T]) scan(list []T) (T, bool) {
	best, low := 0, Never
	for i, c := range list {
		if s := p.Score(c); s < low {
			best, low = i, s
		}
	}
	return list[best], low < Never
}
