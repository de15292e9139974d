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
	// hasLine is set once the head has begun, after empty lines before it.
	hasLine bool
	// last holds the last bytes that were read, since the end of a head may come in two parts.
	last [2]byte
	// count is the size of the head so far, lines its number of lines, and cost what it takes in memory, of which drawn
	// was drawn from the budget.
	count int
	lines int
	cost  int64
	drawn int64
}

// end returns how many of the bytes, which were read after all earlier ones, belong to the head, and whether its end is among
// them. Empty lines before the head don't end it.
func (h *head) end(b []byte) (int, bool) {
	start := 0
	if !h.hasLine {
		start = len(b) - len(bytes.TrimLeft(b, "\r\n"))
		if start == len(b) {
			return start, false
		}
		h.hasLine = true
	}
	text := b[start:]
	joint := [4]byte{h.last[0], h.last[1]}
	n := copy(joint[len(h.last):], text)
	h.noteEnd(text)
	size, ended := afterEmptyLine(joint[:len(h.last)+n])
	if ended {
		size -= len(h.last)
	} else {
		size, ended = afterEmptyLine(text)
	}
	if ended {
		h.hasLine, h.last = false, [2]byte{}
	}
	return start + size, ended
}

// noteEnd keeps the last bytes that were read.
func (h *head) noteEnd(b []byte) {
	if len(b) == 1 {
		h.last = [2]byte{h.last[1], b[0]}
		return
	}
	h.last = [2]byte(b[len(b)-2:])
}

// afterEmptyLine returns the number of bytes up to the end of the first empty line, and whether there is one. The text
// without carriage returns, which net/http accepts too, is looked for last since it is rare.
func afterEmptyLine(b []byte) (int, bool) {
	for _, end := range [...]string{"\r\n\r\n", "\n\r\n", "\n\n"} {
		if i := bytes.Index(b, []byte(end)); i >= 0 {
			return i + len(end), true
		}
	}
	return len(b), false
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
