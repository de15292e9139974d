package policy

import (
	"iter"
	"slices"
)

// listChunkSize is how many items share a chunk; an append copies one chunk and the slice of chunks.
const listChunkSize = 64

// List is an immutable sequence that grows at its end and shrinks at its start; the zero value is
// empty.
type List[T any] struct {
	// chunks are all full, except for the last one.
	chunks [][]T
	// skip counts the items of the first chunk that have been removed.
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
	return l.chunks[i/listChunkSize][i%listChunkSize]
}

// With returns a list that ends with the item.
func (l List[T]) With(item T) List[T] {
	l.size++
	last := len(l.chunks) - 1
	if last < 0 || len(l.chunks[last]) == listChunkSize {
		l.chunks = append(slices.Clone(l.chunks), []T{item})
		return l
	}
	l.chunks = slices.Clone(l.chunks)
	l.chunks[last] = append(slices.Clone(l.chunks[last]), item)
	return l
}

// Without returns a list without its first n items.
func (l List[T]) Without(n int) List[T] {
	if n >= l.size {
		return List[T]{}
	}
	l.size -= n
	l.skip += n
	l.chunks = l.chunks[l.skip/listChunkSize:]
	l.skip %= listChunkSize
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
