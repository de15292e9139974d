package policy

import (
	"errors"
	"sync"
)

// BufferConfig configures a BufferBudget.
type BufferConfig struct {
	// OwnBytes is what each buffer may hold whatever the others hold, and MaxBytes what it may hold at most.
	OwnBytes int
	MaxBytes int
	// SharedBytes is what all buffers together may hold beyond OwnBytes each.
	SharedBytes int
}

// BufferBudget bounds the memory of many buffers, so that a few that grow without end don't take what the others need.
type BufferBudget struct {
	config BufferConfig
	// shared is how many of the SharedBytes are in use.
	shared Cell[int]
}

// NewBufferBudget returns a budget of which nothing is used, or an error if a limit is missing.
func NewBufferBudget(c BufferConfig) (*BufferBudget, error) {
	if c.OwnBytes <= 0 || c.MaxBytes < c.OwnBytes || c.SharedBytes < 0 {
		return nil, errors.New("buffer budget: OwnBytes must be positive, MaxBytes not less, and SharedBytes not negative")
	}
	return &BufferBudget{config: c}, nil
}

// Open returns the account of a new buffer, which the caller closes.
func (b *BufferBudget) Open() *BufferAccount {
	return &BufferAccount{budget: b}
}

// BufferAccount counts the bytes of one buffer; it may be used concurrently.
type BufferAccount struct {
	budget *BufferBudget
	mu     sync.Mutex
	bytes  int
	closed bool
}

// Grow reports whether the buffer may hold n more bytes, and if so counts them.
func (a *BufferAccount) Grow(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.bytes+n > a.budget.config.MaxBytes {
		return false
	}
	if !a.budget.take(a.sharedBytes(a.bytes+n) - a.sharedBytes(a.bytes)) {
		return false
	}
	a.bytes += n
	return true
}

// Close gives back what the buffer holds; it doesn't grow any more. Calls after the first do nothing.
func (a *BufferAccount) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	held := a.sharedBytes(a.bytes)
	a.budget.shared.Update(func(used int) int { return used - held })
}

// sharedBytes returns how much of a buffer of the size is shared.
func (a *BufferAccount) sharedBytes(size int) int {
	return max(0, size-a.budget.config.OwnBytes)
}

// take reports whether n more shared bytes are free, and if so counts them as used.
func (b *BufferBudget) take(n int) bool {
	return b.shared.TryUpdate(func(used int) (int, bool) { return used + n, n == 0 || used+n <= b.config.SharedBytes })
}
