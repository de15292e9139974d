package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// asyncLines is how many lines wait for a slow output before further ones are dropped.
	asyncLines = 4096
	// asyncBatch is how many bytes go to the output at once.
	asyncBatch = 32 << 10
)

// Async hands lines to an output on a goroutine of its own, so that writers never wait for it.
//
// Lines that find the queue full are dropped and counted.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsync returns a writer to the output; Close writes what waits.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.drain(w)
	return a
}

// Write queues a copy of the line; it never fails.
func (a *Async) Write(b []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), b...):
	default:
		a.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were left out since the last call.
func (a *Async) Dropped() int64 {
	return a.dropped.Swap(0) + a.failed.Swap(0)
}

// Close writes the lines that wait and ends; nothing may be written afterwards.
func (a *Async) Close() {
	a.once.Do(func() { close(a.lines) })
	<-a.done
}

func (a *Async) drain(w io.Writer) {
	defer close(a.done)
	batch := make([]byte, 0, asyncBatch)
	for line := range a.lines {
		batch = append(batch[:0], line...)
		batch = a.more(batch)
		if _, err := w.Write(batch); err != nil {
			a.failed.Add(1)
		}
	}
}

// more adds the lines that wait already.
func (a *Async) more(batch []byte) []byte {
	for len(batch) < asyncBatch {
		select {
		case line, ok := <-a.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
