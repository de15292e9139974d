package strict

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MaxHeadBytes bounds the head of one answer: its status line and header.
const MaxHeadBytes = 64 << 10

// Errors of heads.
var (
	// ErrMalformed is wrapped by the errors of bytes that are no answer in the protocol.
	ErrMalformed = errors.New("malformed answer")
	// ErrHeadTooLong is returned for a head of more than MaxHeadBytes.
	ErrHeadTooLong = errors.New("head of the answer is too long")
	// ErrSwitch is returned for a server that goes on in another protocol; no request asks for that.
	ErrSwitch = errors.New("server switched protocols unasked")
)

// Head describes the checked head of an answer.
type Head struct {
	// Length is its length in bytes, with the blank line at its end.
	Length int
	Status int
}

// IsInterim reports whether another answer to the same request follows.
func (h Head) IsInterim() bool {
	return h.Status < http.StatusOK
}

// PeekHead waits for the head of the next answer and checks it, but leaves it unread. It returns the reader to go on with: if
// the head is longer than the buffer of r, that is one with a larger buffer which reads from the source of r.
//
// The error wraps ErrMalformed, ErrHeadTooLong or ErrSwitch, or is that of reading.
func PeekHead(r *bufio.Reader, source io.Reader) (*bufio.Reader, Head, error) {
	for searched := 0; ; searched = r.Buffered() {
		switch {
		case searched >= MaxHeadBytes:
			return r, Head{}, ErrHeadTooLong
		case searched == r.Size():
			r = enlarge(r, source)
		}
		if _, err := r.Peek(searched + 1); err != nil {
			return r, Head{}, err
		}
		// What is buffered can be peeked at without an error.
		buffered, _ := r.Peek(r.Buffered())
		if end := headEnd(buffered, searched); end > 0 {
			head, err := checkHead(string(buffered[:end]))
			return r, head, err
		}
	}
}

// enlarge returns a reader with room for the longest head, which continues r.
func enlarge(r *bufio.Reader, source io.Reader) *bufio.Reader {
	buffered, _ := r.Peek(r.Buffered())
	return bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), source), MaxHeadBytes)
}

// headEnd returns the position after the blank line that ends the head, or 0 if there is none. The data up to the position
// searched holds none.
func headEnd(data []byte, searched int) int {
	const longestEnd = len("\n\r\n")
	from := max(0, searched-longestEnd+1)
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		rest := data[from:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return from + 1
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return from + 2
		}
	}
}

// checkHead checks a head that ends with a blank line.
func checkHead(data string) (Head, error) {
	statusLine, fields := cutLine(data)
	status, err := parseStatusLine(statusLine)
	if err != nil {
		return Head{}, err
	}
	if status == http.StatusSwitchingProtocols {
		return Head{}, ErrSwitch
	}
	var body framing
	for line, rest := cutLine(fields); line != ""; line, rest = cutLine(rest) {
		name, value, err := parseField(line)
		if err != nil {
			return Head{}, err
		}
		body = body.withField(name, value)
	}
	if err := body.check(statusLine, status); err != nil {
		return Head{}, err
	}
	return Head{Length: len(data), Status: status}, nil
}

// framing is what a head states about the end of its body.
type framing struct {
	hasLength bool
	// length is the stated length, unchecked.
	length  string
	isCoded bool
}

// isStated reports whether the head states a body that isn't empty.
func (f framing) isStated() bool {
	return f.isCoded || f.hasLength && f.length != "0"
}

// withField returns the framing with what a field of the head states.
func (f framing) withField(name, value string) framing {
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		f.hasLength, f.length = true, value
	case "Transfer-Encoding":
		f.isCoded = true
	}
	return f
}

// check returns an error if the statements contradict each other, the version of HTTP or the status.
func (f framing) check(statusLine string, status int) error {
	isBodiless := status < http.StatusOK || status == http.StatusNoContent
	switch {
	case f.isCoded && (f.hasLength || strings.HasPrefix(statusLine, "HTTP/1.0")):
		return fmt.Errorf("%w: transfer coding beside a length or in HTTP/1.0", ErrMalformed)
	case isBodiless && f.isStated():
		return fmt.Errorf("%w: body with status %d", ErrMalformed, status)
	}
	return nil
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

const (
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine returns the status of a status line such as "HTTP/1.1 200 OK"; a server may leave the reason phrase out.
func parseStatusLine(line string) (int, error) {
	const versionLength, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	if len(line) < statusEnd || !isVersion(line[:versionLength]) || !isReason(line[statusEnd:]) {
		return 0, fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
	}
	status, err := strconv.ParseUint(line[versionLength:statusEnd], 10, 16)
	if err != nil || status < minStatus || status > maxStatus {
		return 0, fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
	}
	return int(status), nil
}

// isVersion reports whether the text is a version that HTTP/1.1 servers answer with, and the blank after it.
func isVersion(text string) bool {
	return text == "HTTP/1.1 " || text == "HTTP/1.0 "
}

// isReason reports whether the text is a blank and a reason phrase without control characters, or empty.
func isReason(text string) bool {
	return text == "" || text[0] == ' ' && httpguts.ValidHeaderFieldValue(text)
}

// parseField returns the name and value of a field. A line that begins with a blank is none: it continues the field before it, in
// an outdated form that recipients read in different ways.
func parseField(line string) (name, value string, err error) {
	name, value, hasColon := strings.Cut(line, ":")
	if !hasColon || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return "", "", fmt.Errorf("%w: line %.40q in the head", ErrMalformed, line)
	}
	return name, strings.Trim(value, " \t"), nil
}
