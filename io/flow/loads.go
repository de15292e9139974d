package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// ServerLoads holds the load of each backend server, from this instance's own requests and from the
// server's load reports.
type ServerLoads struct {
	cells sync.Map
	// count is the number of cells.
	count atomic.Int64
}

// NewServerLoads returns an empty table of loads.
func NewServerLoads() *ServerLoads {
	return new(ServerLoads)
}

// Load returns the load of the server; the zero value means that nothing is known.
func (l *ServerLoads) Load(id value.ServerID) value.Load {
	c, ok := l.cells.Load(id)
	if !ok {
		return value.Load{}
	}
	return c.(*policy.Cell[value.Load]).Get()
}

// Update replaces the server's load by the function's result and returns it. The function must have
// no side effects, because it may be called more than once.
func (l *ServerLoads) Update(id value.ServerID, next func(value.Load) value.Load) value.Load {
	return l.cell(id).Update(next)
}

// TryUpdate is like Update, but the function may return false to leave the load unchanged.
func (l *ServerLoads) TryUpdate(id value.ServerID, next func(value.Load) (value.Load, bool)) bool {
	return l.cell(id).TryUpdate(next)
}

// Prune drops the loads of idle servers that are no longer listed, unless they are ejected: one reading of the list may lack a
// server that is there. It does nothing unless there are more loads than listed servers.
func (l *ServerLoads) Prune(listed policy.Table[value.ServerID, value.BackendServer], now time.Time) {
	if int(l.count.Load()) <= listed.Len() {
		return
	}
	l.cells.Range(func(k, c any) bool {
		_, ok := listed.Get(k.(value.ServerID))
		load := c.(*policy.Cell[value.Load]).Get()
		isNeeded := load.InFlight > 0 || load.EjectedUntil.After(now)
		if !ok && !isNeeded && l.cells.CompareAndDelete(k, c) {
			l.count.Add(-1)
		}
		return true
	})
}

func (l *ServerLoads) cell(id value.ServerID) *policy.Cell[value.Load] {
	c, ok := l.cells.Load(id)
	if !ok {
		var loaded bool
		if c, loaded = l.cells.LoadOrStore(id, new(policy.Cell[value.Load])); !loaded {
			l.count.Add(1)
		}
	}
	return c.(*policy.Cell[value.Load])
}
