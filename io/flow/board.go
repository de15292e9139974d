package flow

import (
	"sync"
	"sync/atomic"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Board holds what this instance's traffic has observed of each backend server.
type Board struct {
	cells sync.Map
	// known counts the cells.
	known atomic.Int64
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

// Prune drops what is known of idle servers that aren't listed any more.
func (b *Board) Prune(listed policy.Table[value.ServerID, value.BackendServer]) {
	if int(b.known.Load()) <= listed.Len() {
		return
	}
	b.cells.Range(func(k, c any) bool {
		_, ok := listed.Get(k.(value.ServerID))
		if !ok && c.(*policy.Cell[value.Load]).Get().InFlight == 0 && b.cells.CompareAndDelete(k, c) {
			b.known.Add(-1)
		}
		return true
	})
}

func (b *Board) cell(id value.ServerID) *policy.Cell[value.Load] {
	c, ok := b.cells.Load(id)
	if !ok {
		var had bool
		if c, had = b.cells.LoadOrStore(id, new(policy.Cell[value.Load])); !had {
			b.known.Add(1)
		}
	}
	return c.(*policy.Cell[value.Load])
}
