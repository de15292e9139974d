package policy

import "math"

// Excluded is the score of a candidate that must not be picked.
var Excluded = math.Inf(1)

// Rand is a source of random numbers, such as Rand of math/rand/v2.
type Rand interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// RandomChoice picks the candidate with the lowest score among a few random ones (power of d choices).
type RandomChoice[T any] struct {
	// Tries is how many random candidates are compared.
	Tries int
	// Score returns a candidate's score; lower is better, and Excluded rules the candidate out.
	Score func(T) float64
}

// Pick returns the best of a few random candidates, or the best of all where those few are excluded;
// it returns false when every candidate is excluded.
func (p RandomChoice[T]) Pick(list []T, rnd Rand) (T, bool) {
	if len(list) == 0 {
		var none T
		return none, false
	}
	best, lowest := 0, Excluded
	for range p.Tries {
		i := rnd.IntN(len(list))
		if s := p.Score(list[i]); s < lowest {
			best, lowest = i, s
		}
	}
	if lowest < Excluded {
		return list[best], true
	}
	return p.pickFromAll(list)
}

func (p RandomChoice[T]) pickFromAll(list []T) (T, bool) {
	best, lowest := 0, Excluded
	for i, c := range list {
		if s := p.Score(c); s < lowest {
			best, lowest = i, s
		}
	}
	return list[best], lowest < Excluded
}
