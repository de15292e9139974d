package policy

import (
	"iter"
	"sync"
)

// Cells holds a Cell for each key, for concurrent readers and writers; the zero value is empty.
type Cells[K comparable, T any] struct {
	cells sync.Map
}

// Cell returns the key's cell and creates it at the first call.
func (c *Cells[K, T]) Cell(k K) *Cell[T] {
	loaded, ok := c.cells.Load(k)
	if !ok {
		loaded, _ = c.cells.LoadOrStore(k, new(Cell[T]))
	}
	return loaded.(*Cell[T])
}

// Get returns the key's latest value, or the zero value; it creates no cell.
func (c *Cells[K, T]) Get(k K) T {
	if loaded, ok := c.cells.Load(k); ok {
		return loaded.(*Cell[T]).Get()
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

// Delete removes the key; a caller that already has its cell may go on using it.
func (c *Cells[K, T]) Delete(k K) {
	c.cells.Delete(k)
}
