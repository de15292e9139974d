package plat

import (
	"context"
	"sync"
)

// joins lets callers of the same read share one call.
type joins struct {
	mu   sync.Mutex
	open map[string]*flight
}

// flight is a read under way; value and err are set before done is closed.
type flight struct {
	waiters int
	cancel  context.CancelFunc
	done    chan struct{}
	value   any
	err     error
}

// join returns the flight of that name and whether it was under way already.
func (j *joins) join(name string, read func(context.Context) (any, error)) (*flight, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f, ok := j.open[name]; ok {
		f.waiters++
		return f, true
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &flight{waiters: 1, cancel: cancel, done: make(chan struct{})}
	if j.open == nil {
		j.open = make(map[string]*flight)
	}
	j.open[name] = f
	go func() {
		f.value, f.err = read(ctx)
		j.close(name, f)
		close(f.done)
	}()
	return f, false
}

// leave gives up one caller's interest; the last one ends the read.
func (j *joins) leave(name string, f *flight) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f.waiters--
	if f.waiters > 0 {
		return
	}
	f.cancel()
	if j.open[name] == f {
		delete(j.open, name)
	}
}

// forget makes later callers start a read of their own.
func (j *joins) forget(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.open, name)
}

func (j *joins) close(name string, f *flight) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.open[name] == f {
		delete(j.open, name)
	}
}
