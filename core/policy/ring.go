package policy

import "iter"

// Ring is an immutable series of the latest values; the zero value holds none and keeps none.
//
// It keeps two generations of a linked list, so that adding takes constant time
// and shares all but one link with the ring before.
type Ring[T any] struct {
	size  int
	young *link[T]
	old   *link[T]
	// grown counts the links of the young generation.
	grown int
}

type link[T any] struct {
	value T
	next  *link[T]
}

// NewRing returns an empty ring that keeps as many values.
func NewRing[T any](size int) Ring[T] {
	return Ring[T]{size: size}
}

// With returns a ring that also holds the value, and no more than the latest of the others.
func (r Ring[T]) With(v T) Ring[T] {
	if r.size <= 0 {
		return r
	}
	if r.grown == r.size {
		r.old, r.young, r.grown = r.young, nil, 0
	}
	r.young = &link[T]{value: v, next: r.young}
	r.grown++
	return r
}

// All yields the values, the latest first.
func (r Ring[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		left := r.size
		for _, first := range []*link[T]{r.young, r.old} {
			for l := first; l != nil && left > 0; l = l.next {
				if !yield(l.value) {
					return
				}
				left--
			}
		}
	}
}
