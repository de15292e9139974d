package policy

import "sync/atomic"

// Cell holds the latest of a series of immutable values, for many readers and writers.
type Cell[T any] struct {
	p atomic.Pointer[T]
}

// NewCell returns a cell that holds the value.
func NewCell[T any](v T) *Cell[T] {
	c := new(Cell[T])
	c.p.Store(&v)
	return c
}

// Get returns the latest value, which is the zero value before the first change.
func (c *Cell[T]) Get() T {
	p := c.p.Load()
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// Update replaces the value by what the function makes of it, and returns the new one.
//
// The function may be called again when another writer was faster, so it must be pure.
func (c *Cell[T]) Update(next func(T) T) T {
	for {
		old := c.p.Load()
		var was T
		if old != nil {
			was = *old
		}
		now := next(was)
		if c.p.CompareAndSwap(old, &now) {
			return now
		}
	}
}

// TryUpdate is like Update, but the function may decline, which leaves the value as it is.
func (c *Cell[T]) TryUpdate(next func(T) (T, bool)) bool {
	for {
		old := c.p.Load()
		var was T
		if old != nil {
			was = *old
		}
		now, ok := next(was)
		if !ok {
			return false
		}
		if c.p.CompareAndSwap(old, &now) {
			return true
		}
	}
}
