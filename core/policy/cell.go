package policy

import "sync/atomic"

// Cell holds the latest version of an immutable value for concurrent readers and writers; the zero
// Cell holds the zero value.
type Cell[T any] struct {
	latest atomic.Pointer[T]
}

// NewCell returns a cell that holds the value.
func NewCell[T any](v T) *Cell[T] {
	c := new(Cell[T])
	c.latest.Store(&v)
	return c
}

// Get returns the latest value.
func (c *Cell[T]) Get() T {
	p := c.latest.Load()
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// Update replaces the value by the result of calling next with it, and returns the new value.
//
// It calls next again when another writer has changed the value meanwhile, so next must be pure.
func (c *Cell[T]) Update(next func(T) T) T {
	for {
		old := c.latest.Load()
		var current T
		if old != nil {
			current = *old
		}
		updated := next(current)
		if c.latest.CompareAndSwap(old, &updated) {
			return updated
		}
	}
}

// TryUpdate is like Update, but leaves the value as it is and returns false when next returns false.
func (c *Cell[T]) TryUpdate(next func(T) (T, bool)) bool {
	for {
		old := c.latest.Load()
		var current T
		if old != nil {
			current = *old
		}
		updated, ok := next(current)
		if !ok {
			return false
		}
		if c.latest.CompareAndSwap(old, &updated) {
			return true
		}
	}
}
