package plat

import (
	"context"
	"sync"
)

// flightGroup lets concurrent callers of the same read share one call.
type flightGroup struct {
	mu      sync.Mutex
	flights map[string]*flight
}

// flight is a read in flight; value and err are set before done is closed.
type flight struct {
	// waiters is the number of callers that wait for the read.
	waiters int
	cancel  context.CancelFunc
	done    chan struct{}
	value   any
	err     error
}

// join returns the flight of that name and true if there is one, and otherwise starts one and
// returns false. The caller must call leave.
func (g *flightGroup) join(name string, read func(context.Context) (any, error)) (*flight, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if joined, ok := g.flights[name]; ok {
		joined.waiters++
		return joined, true
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &flight{waiters: 1, cancel: cancel, done: make(chan struct{})}
	if g.flights == nil {
		g.flights = make(map[string]*flight)
	}
	g.flights[name] = f
	go func() {
		f.value, f.err = read(ctx)
		g.remove(name, f)
		close(f.done)
	}()
	return f, false
}

// leave removes one caller from the flight; the read is cancelled when the last one leaves.
func (g *flightGroup) leave(name string, f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.waiters--
	if f.waiters > 0 {
		return
	}
	f.cancel()
	if g.flights[name] == f {
		delete(g.flights, name)
	}
}

// forget makes later callers start a new read, as the one in flight may not show the latest change.
func (g *flightGroup) forget(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flights, name)
}

// remove takes the flight out of the group, unless a later one has its name.
func (g *flightGroup) remove(name string, f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.flights[name] == f {
		delete(g.flights, name)
	}
}
