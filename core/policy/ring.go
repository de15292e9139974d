package policy

import "iter"

// Ring is an immutable buffer of the latest values; the zero value has a capacity of zero.
//
// It consists of two linked lists. Once the young list has reached the capacity it replaces the old
// one, so adding a value takes constant time and shares all other links with the previous ring.
type Ring[T any] struct {
	size  int
	young *link[T]
	old   *link[T]
	// youngCount is the length of the young list.
	youngCount int
}

type link[T any] struct {
	value T
	next  *link[T]
}

// NewRing returns an empty ring that holds at most size values, the latest ones.
func NewRing[T any](size int) Ring[T] {
	return Ring[T]{size: size}
}

// With returns a ring that also holds the value; the oldest value is dropped when the ring is full.
func (r Ring[T]) With(v T) Ring[T] {
	if r.size <= 0 {
		return r
	}
	if r.youngCount == r.size {
		r.old, r.young, r.youngCount = r.young, nil, 0
	}
	r.young = &link[T]{value: v, next: r.young}
	r.youngCount++
	return r
}

// All yields the values, the latest first.
func (r Ring[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		remaining := r.size
		for _, newest := range []*link[T]{r.young, r.old} {
			for node := newest; node != nil && remaining > 0; node = node.next {
				if !yield(node.value) {
					return
				}
				remaining--
			}
		}
	}
}
