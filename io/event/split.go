package event

import (
	"bytes"
	"errors"
)

// ErrTooLong is returned when the incomplete event at the end exceeds the splitter's limit.
var ErrTooLong = errors.New("event exceeds the size limit")

// Splitter buffers the bytes of a stream and returns complete events; create it with NewSplitter.
type Splitter struct {
	// maxBytes bounds the length of partial.
	maxBytes int
	// partial holds the bytes after the last complete event.
	partial     []byte
	lastEventID string
}

// NewSplitter returns a splitter that buffers at most maxBytes of an incomplete event.
func NewSplitter(maxBytes int) *Splitter {
	return &Splitter{maxBytes: maxBytes}
}

// Feed adds a chunk and returns the events that are now complete, each with the blank line that ends it.
// The result may share the chunk's memory, so it is valid only until the caller changes the chunk. With
// ErrTooLong, no event is returned and the chunk is dropped.
func (s *Splitter) Feed(chunk []byte) ([]byte, error) {
	data := chunk
	if len(s.partial) > 0 {
		data = append(s.partial, chunk...)
	}
	end := endOfLastEvent(data)
	if len(data)-end > s.maxBytes {
		return nil, ErrTooLong
	}
	complete := data[:end]
	if id, ok := findLastID(complete); ok {
		s.lastEventID = id
	}
	s.partial = append([]byte(nil), data[end:]...)
	return complete, nil
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte {
	return s.partial
}

// LastID returns the ID of the last complete event that had one.
func (s *Splitter) LastID() string {
	return s.lastEventID
}

// endOfLastEvent returns the position after the last blank line, or 0 if there is none.
func endOfLastEvent(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// findLastID returns the value of the last id field, and whether there is one.
func findLastID(events []byte) (string, bool) {
	field := []byte("\nid:")
	i := bytes.LastIndex(events, field)
	switch {
	case i >= 0:
		events = events[i+len(field):]
	case bytes.HasPrefix(events, field[1:]):
		// No newline precedes the field if it is on the first line.
		events = events[len(field)-1:]
	default:
		return "", false
	}
	if n := bytes.IndexAny(events, "\r\n"); n >= 0 {
		events = events[:n]
	}
	return string(bytes.TrimSpace(events)), true
}
