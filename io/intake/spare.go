package intake

import (
	"slices"
	"sync"

	core "endivehitch/core/intake"
)

// spareExtra is the part of the budget, as its reciprocal, that buffers kept for reuse may take beyond what requests leave
// of it.
const spareExtra = 4

// spares is a free list of buffers of bodies that were dropped before they were passed on. Without it, refused bodies leave
// more garbage during one cycle of the collector than the budget allows for.
type spares struct {
	mu    sync.Mutex
	bytes int64
	// buffers begins with the one that was dropped first.
	buffers [][]byte
}

// get returns an empty buffer of at least the size, and less than twice as much.
func (s *spares) get(size int64) []byte {
	if size < core.OrdinaryBytes {
		return make([]byte, 0, size)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i, b := range s.buffers {
		if n := int64(cap(b)); n >= size && n < 2*size && (best < 0 || cap(b) < cap(s.buffers[best])) {
			best = i
		}
	}
	if best < 0 {
		return make([]byte, 0, size)
	}
	found := s.buffers[best]
	s.buffers = slices.Delete(s.buffers, best, best+1)
	s.bytes -= int64(cap(found))
	return found[:0]
}

// put keeps a buffer that nothing refers to, and drops others if all take more than the limit.
func (s *spares) put(b []byte, limit int64) {
	if cap(b) < core.OrdinaryBytes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffers = append(s.buffers, b)
	s.bytes += int64(cap(b))
	for len(s.buffers) > 0 && s.bytes > limit {
		s.bytes -= int64(cap(s.buffers[0]))
		s.buffers = slices.Delete(s.buffers, 0, 1)
	}
}

// spare keeps a buffer that the share has drawn for and that nothing refers to.
func (s *Share) spare(b []byte) {
	limit := s.pool.config.Limits.Bytes
	s.pool.spares.put(b, limit+limit/spareExtra-s.pool.Used())
}
