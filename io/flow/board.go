package flow

import (
	"sync"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Board holds what this instance's traffic has observed of each backend server.
type Board struct {
	cells sync.Map
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return new(Board)
}

// Load returns what has been observed of the server.
func (b *Board) Load(id value.ServerID) value.Load {
	c, ok := b.cells.Load(id)
	if !ok {
		return value.Load{}
	}
	return c.(*policy.Cell[value.Load]).Get()
}

// Update replaces what is known of the server by what the pure function makes of it.
func (b *Board) Update(id value.ServerID, next func(value.Load) value.Load) value.Load {
	return b.cell(id).Update(next)
}

// TryUpdate is like Update, but the pure function may decline, which leaves the value as it is.
func (b *Board) TryUpdate(id value.ServerID, next func(value.Load) (value.Load, bool)) bool {
	return b.cell(id).TryUpdate(next)
}

// Forget drops what is known of the server.
func (b *Board) Forget(id value.ServerID) {
	b.cells.Delete(id)
}

func (b *Board) cell(id value.ServerID) *policy.Cell[value.Load] {
	c, ok := b.cells.Load(id)
	if !ok {
		c, _ = b.cells.LoadOrStore(id, new(policy.Cell[value.Load]))
	}
	return c.(*policy.Cell[value.Load])
}
