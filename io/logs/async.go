package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines is the capacity of the queue; while it is full, further lines are dropped.
	maxQueuedLines = 4096
	// maxBatchBytes is the size at which a batch of lines is written without waiting for more; its
	// last line may go beyond it.
	maxBatchBytes = 32 << 10
)

// AsyncWriter writes lines to an output on a goroutine of its own, so that callers never wait for
// the output.
//
// Lines are dropped and counted while the queue is full.
type AsyncWriter struct {
	lines        chan []byte
	dropped      atomic.Int64
	failedWrites atomic.Int64
	done         chan struct{}
	closeOnce    sync.Once
}

// NewAsyncWriter returns an asynchronous writer to the output and starts its goroutine, which Close
// ends.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.drain(w)
	return a
}

// Write queues a copy of the line, or drops the line if the queue is full. It never returns an
// error.
func (a *AsyncWriter) Write(b []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), b...):
	default:
		a.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of dropped lines since the last call, plus the number of writes to the
// output that failed.
func (a *AsyncWriter) Dropped() int64 {
	return a.dropped.Swap(0) + a.failedWrites.Swap(0)
}

// Close writes the queued lines and returns; Write must not be called afterwards.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.lines) })
	<-a.done
}

// drain writes the queued lines in batches until the queue is closed.
func (a *AsyncWriter) drain(w io.Writer) {
	defer close(a.done)
	batch := make([]byte, 0, maxBatchBytes)
	for line := range a.lines {
		batch = append(batch[:0], line...)
		batch = a.appendQueued(batch)
		if _, err := w.Write(batch); err != nil {
			a.failedWrites.Add(1)
		}
	}
}

// appendQueued adds lines that are already queued, until the batch has reached its size.
func (a *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
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
