package policy

import (
	"iter"
	"slices"
)

// listChunk is how many items share a chunk; an append copies one chunk and the spine.
const listChunk = 64

// List is an immutable sequence that grows at its end and is dropped from its start; the zero value
// is empty.
type List[T any] struct {
	// spine holds chunks that are full but for the last one.
	spine [][]T
	// skip counts the items of the first chunk that are dropped.
	skip int
	size int
}

// Len returns the number of items.
func (l List[T]) Len() int {
	return l.size
}

// At returns the item at the index, from 0.
func (l List[T]) At(i int) T {
	i += l.skip
	return l.spine[i/listChunk][i%listChunk]
}

// With returns a list that ends with the item.
func (l List[T]) With(item T) List[T] {
	l.size++
	last := len(l.spine) - 1
	if last < 0 || len(l.spine[last]) == listChunk {
		l.spine = append(slices.Clone(l.spine), []T{item})
		return l
	}
	l.spine = slices.Clone(l.spine)
	l.spine[last] = append(slices.Clone(l.spine[last]), item)
	return l
}

// Without returns a list that lacks the first n items.
func (l List[T]) Without(n int) List[T] {
	if n >= l.size {
		return List[T]{}
	}
	l.size -= n
	l.skip += n
	l.spine = l.spine[l.skip/listChunk:]
	l.skip %= listChunk
	return l
}

// From yields the items from the index on.
func (l List[T]) From(i int) iter.Seq[T] {
	return func(yield func(T) bool) {
		for ; i < l.size; i++ {
			if !yield(l.At(i)) {
				return
			}
		}
	}
}
