package intake

import "bytes"

// head is the state of reading a request's head.
type head struct {
	// text holds what has been read of a head that came in several parts, until it is taken.
	text []byte
	// isWhole is set while text is being taken.
	isWhole bool
	// isTimed is set once the time for the head has begun.
	isTimed bool
	// last holds the last bytes that were read, since the end of a head may come in two parts.
	last [2]byte
	// count is the size of the head so far, lines its number of lines, and cost what it takes in memory, of which drawn
	// was drawn from the budget.
	count int
	lines int
	cost  int64
	drawn int64
}

// ends reports whether an empty line ends in the bytes, which were read after all earlier ones.
func (h *head) ends(b []byte) bool {
	joint := [4]byte{h.last[0], h.last[1]}
	n := copy(joint[len(h.last):], b)
	h.noteEnd(b)
	return hasEmptyLine(joint[:len(h.last)+n]) || hasEmptyLine(b)
}

// noteEnd keeps the last bytes that were read.
func (h *head) noteEnd(b []byte) {
	if len(b) == 1 {
		h.last = [2]byte{h.last[1], b[0]}
		return
	}
	h.last = [2]byte(b[len(b)-2:])
}

// hasEmptyLine reports whether the bytes hold the end of a line and an empty line. net/http accepts both ends of lines.
func hasEmptyLine(b []byte) bool {
	return bytes.Contains(b, []byte("\n\r\n")) || bytes.Contains(b, []byte("\n\n"))
}

// take copies what was read into b, and forgets it once it is taken whole.
func (h *head) take(b []byte) int {
	n := copy(b, h.text)
	h.text = h.text[n:]
	if len(h.text) == 0 {
		h.text, h.isWhole, h.isTimed = nil, false, false
	}
	return n
}
