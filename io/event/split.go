package event

import (
	"bytes"
	"errors"
)

// ErrTooLong is returned for an event that exceeds the splitter's bound.
var ErrTooLong = errors.New("event is too long")

// Splitter gathers the bytes of a stream and hands out whole events; the zero value is not usable.
type Splitter struct {
	max  int
	kept []byte
	last string
}

// NewSplitter returns a splitter for events of at most maxBytes.
func NewSplitter(maxBytes int) *Splitter {
	return &Splitter{max: maxBytes}
}

// Feed takes in bytes and returns the whole events so far, with the blank line that ends each; the
// result is valid until the next call.
func (s *Splitter) Feed(b []byte) ([]byte, error) {
	data := b
	if len(s.kept) > 0 {
		data = append(s.kept, b...)
	}
	end := lastEnd(data)
	if len(data)-end > s.max {
		return nil, ErrTooLong
	}
	whole := data[:end]
	if id, ok := lastID(whole); ok {
		s.last = id
	}
	s.kept = append([]byte(nil), data[end:]...)
	return whole, nil
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte {
	return s.kept
}

// LastID returns the identifier of the last whole event that had one.
func (s *Splitter) LastID() string {
	return s.last
}

// lastEnd returns the position behind the last blank line.
func lastEnd(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastID returns the value of the last id field.
func lastID(whole []byte) (string, bool) {
	field := []byte("\nid:")
	i := bytes.LastIndex(whole, field)
	switch {
	case i >= 0:
		whole = whole[i+len(field):]
	case bytes.HasPrefix(whole, field[1:]):
		whole = whole[len(field)-1:]
	default:
		return "", false
	}
	if n := bytes.IndexAny(whole, "\r\n"); n >= 0 {
		whole = whole[:n]
	}
	return string(bytes.TrimSpace(whole)), true
}
