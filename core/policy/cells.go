package policy

import (
	"iter"
	"sync"
)

// Cells holds a Cell for each key, for many readers and writers; the zero value is empty.
type Cells[K comparable, T any] struct {
	cells sync.Map
}

// Of returns the key's cell, which is made at the first call.
func (c *Cells[K, T]) Of(k K) *Cell[T] {
	have, ok := c.cells.Load(k)
	if !ok {
		have, _ = c.cells.LoadOrStore(k, new(Cell[T]))
	}
	return have.(*Cell[T])
}

// Get returns the key's latest value without making a cell.
func (c *Cells[K, T]) Get(k K) T {
	if have, ok := c.cells.Load(k); ok {
		return have.(*Cell[T]).Get()
	}
	var zero T
	return zero
}

// All yields the latest value of each key.
func (c *Cells[K, T]) All() iter.Seq2[K, T] {
	return func(yield func(K, T) bool) {
		c.cells.Range(func(k, v any) bool { return yield(k.(K), v.(*Cell[T]).Get()) })
	}
}

// Drop forgets the key; who holds its cell may still use that.
func (c *Cells[K, T]) Drop(k K) {
	c.cells.Delete(k)
}
