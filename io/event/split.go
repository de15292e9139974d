package event

import (
	"bytes"
	"errors"
)

// ErrTooLong is returned when the incomplete event at the end exceeds the splitter's limit.
var ErrTooLong = errors.New("event exceeds the size limit")

// Splitter buffers the bytes of a stream and returns complete events; create it with NewSplitter.
type Splitter struct {
	// maxBytes bounds the length of an incomplete event.
	maxBytes int
	// buffer holds the events that the last Feed returned, up to returned, and the bytes after them.
	buffer      []byte
	returned    int
	lastEventID string
}

// NewSplitter returns a splitter that buffers at most maxBytes of an incomplete event.
func NewSplitter(maxBytes int) *Splitter {
	return &Splitter{maxBytes: maxBytes}
}

// Feed adds a chunk and returns the events that are now complete, each with the blank line that ends it.
// The result is valid until the next call. With ErrTooLong, no event is returned.
func (s *Splitter) Feed(chunk []byte) ([]byte, error) {
	if s.returned > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[s.returned:]...)
		s.returned = 0
	}
	// The end of an event may have begun in an earlier chunk; what lies before it was searched then.
	searched := max(0, len(s.buffer)-len(longestEventEnd)+1)
	s.buffer = append(s.buffer, chunk...)
	if end := endOfLastEvent(s.buffer[searched:]); end > 0 {
		s.returned = searched + end
	}
	if len(s.Rest()) > s.maxBytes {
		s.returned = 0
		return nil, ErrTooLong
	}
	complete := s.buffer[:s.returned]
	if id, ok := findLastID(complete); ok {
		s.lastEventID = id
	}
	return complete, nil
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte {
	return s.buffer[s.returned:]
}

// LastID returns the ID of the last complete event that had one.
func (s *Splitter) LastID() string {
	return s.lastEventID
}

// The blank lines that end an event.
var (
	eventEnd        = []byte("\n\n")
	longestEventEnd = []byte("\r\n\r\n")
)

// endOfLastEvent returns the position after the last blank line, or 0 if there is none.
func endOfLastEvent(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(data, longestEventEnd); i >= 0 {
		end = max(end, i+len(longestEventEnd))
	}
	return end
}

// HasField reports whether the complete events have any field. Without one they hold only comments, which
// servers send to keep a connection open.
func HasField(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line[0] != ':' && line[0] != '\r' && line[0] != '\n' {
			return true
		}
	}
	return false
}

// Count returns the number of the complete events that have any field.
func Count(events []byte) int {
	n := 0
	hasField := false
	for line := range bytes.Lines(events) {
		switch {
		case line[0] == '\r' || line[0] == '\n':
			if hasField {
				n++
			}
			hasField = false
		case line[0] != ':':
			hasField = true
		}
	}
	return n
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
