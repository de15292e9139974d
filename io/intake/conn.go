package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"endivehitch/io/conns"
)

const (
	// freeHeadBytes is what a head may hold without drawing from the budget; the bound on connections covers it.
	freeHeadBytes = 8 << 10
	// headPart is how much of a head is read at a time after its first part.
	headPart = 1 << 10
	// fieldBytes is what a header field takes beside its text once it is parsed.
	fieldBytes = 128
	// drainBytes and drainTime bound what is read of a refused head, so that its caller can read the answer.
	drainBytes = 1 << 20
	drainTime  = 500 * time.Millisecond
	// refusalTime bounds the time to write a refusal to a caller that may not read.
	refusalTime = 10 * time.Millisecond
)

// Refusals that are written to a connection whose request has not been parsed, so that it has not run.
const (
	refusalHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 24\r\n\r\nthe header is too large\n"
	refusalBusy = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 28\r\n\r\ntoo many requests, try later"
)

// The phases of a Conn.
const (
	// waiting is the phase in which it waits for a head or reads one.
	waiting int32 = iota
	// headRead has a whole head that has been passed on. The server may read ahead before the request begins.
	headRead
	// busy has a request whose answer is not written whole.
	busy
	// refused is closed by this package; a request that is still read on it must not be served.
	refused
)

// Conn is a caller's connection that counts the bytes of heads.
type Conn struct {
	net.Conn
	listener *Listener
	// phase decides who comes first if a request begins while the connection is refused.
	phase atomic.Int32
	// used is set once there was a request.
	used atomic.Bool
	// since is when the connection began to wait for a head, in nanoseconds of Unix time.
	since  atomic.Int64
	closed atomic.Bool
	share  *Share
	// head is the head that is being read. Only the goroutine that reads the connection uses it.
	head head
	// mu guards the counts in head, since the server reads ahead on another goroutine while a request begins.
	mu sync.Mutex
	// isCountedAsUsed is guarded by the listener's mutex.
	isCountedAsUsed bool
}

// Of returns the Conn beneath a connection, or nil.
func Of(c net.Conn) *Conn {
	found, _ := conns.Beneath[*Conn](c)
	return found
}

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// SyscallConn returns access to the descriptor beneath.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// CloseWrite shuts down the sending side.
func (c *Conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}

// BeginRequest notes that a head has been read whole, and returns false if the request must not be served, since it has been
// refused already.
func (c *Conn) BeginRequest() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	hasDrawn := c.head.drawn > 0
	c.mu.Unlock()
	// The end of a head is not seen if it is encrypted, or if a part of it was read ahead with the request before.
	isOpen := c.phase.CompareAndSwap(headRead, busy) || c.phase.CompareAndSwap(waiting, busy)
	if !isOpen || (hasDrawn && !c.share.Complete()) {
		return false
	}
	if !c.used.Swap(true) {
		c.listener.noteUse(c)
	}
	return true
}

// EndRequest notes that a request has been read whole and answered, so that what follows is the head of the next one.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	if c.head.drawn > 0 {
		c.share.Release()
	}
	c.head.count, c.head.lines, c.head.cost, c.head.drawn = 0, 0, 0, 0
	c.mu.Unlock()
	c.since.Store(c.listener.pool.config.Now().UnixNano())
	c.phase.Store(waiting)
}

// Read reads from the connection. A head is passed on once it is whole, since it takes many times its size while it is
// parsed. One that is longer than allowed, or for which the budget is short, is answered and the connection closed.
func (c *Conn) Read(b []byte) (int, error) {
	if c.head.isWhole {
		return c.head.take(b), nil
	}
	if len(c.head.text) > 0 {
		return c.awaitHead(b)
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if phase := c.phase.Load(); phase == busy || phase == headRead {
		return n, err
	}
	if c.listener.config.Encrypted {
		if refusal := c.countHead(b, n, false); refusal != nil {
			return 0, refusal
		}
		return n, err
	}
	size, ended := c.head.end(b[:n])
	if refusal := c.countHead(b, size, ended); refusal != nil {
		return 0, refusal
	}
	if ended && !c.noteWhole() {
		return 0, readError(net.ErrClosed)
	}
	// Empty lines before a head are the server's to judge, which refuses all but the first few.
	if ended || err != nil || !c.head.hasLine {
		return n, err
	}
	c.keep(b[:n])
	return c.awaitHead(b)
}

// awaitHead reads on until the head is whole.
func (c *Conn) awaitHead(b []byte) (int, error) {
	var part [headPart]byte
	for !c.head.isWhole {
		n, err := c.Conn.Read(part[:])
		if n > 0 {
			size, ended := c.head.end(part[:n])
			if refusal := c.countHead(part[:], size, ended); refusal != nil {
				return 0, refusal
			}
			if ended && !c.noteWhole() {
				return 0, readError(net.ErrClosed)
			}
			c.head.isWhole = ended
			c.keep(part[:n])
		}
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		// What came before the end of a connection is passed on; the next read fails again.
		c.head.isWhole = c.head.isWhole || err != nil
	}
	return c.head.take(b), nil
}

// noteWhole notes that a whole head is passed on, and returns false if the connection is refused.
func (c *Conn) noteWhole() bool {
	return c.phase.CompareAndSwap(waiting, headRead) || c.phase.Load() != refused
}

// keep keeps a part of a head that is not whole.
func (c *Conn) keep(part []byte) {
	c.head.text = append(c.head.text, part...)
	if c.head.isTimed || !c.used.Load() {
		return
	}
	// The server still waits with the longer time for a connection between two requests.
	c.head.isTimed = true
	_ = c.SetReadDeadline(time.Now().Add(c.listener.config.HeadTime))
}

// countHead counts n bytes of a head, with which b begins, and draws what they take. The error is that of the read.
func (c *Conn) countHead(b []byte, n int, ended bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &c.head
	h.count += n
	if h.count > c.listener.headBytes() {
		c.listener.pool.Report(KindHead)
		return c.refuseHead(b)
	}
	h.lines += bytes.Count(b[:n], []byte{'\n'})
	h.cost += int64(n)
	if ended {
		h.cost += int64(fieldBytes * h.lines)
		h.lines = 0
	}
	over := h.cost - freeHeadBytes - h.drawn
	if over <= 0 {
		return nil
	}
	if err := c.share.Draw(over); err != nil {
		c.refuse()
		return readError(err)
	}
	h.drawn += over
	return nil
}

// Close closes the connection and returns what its head holds.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.remove(c)
		c.share.Release()
	}
	return c.Conn.Close()
}

// refuseHead answers that the head is too long, and reads on for a short time, since the answer would be lost if the
// connection were closed with data unread.
func (c *Conn) refuseHead(b []byte) error {
	err := readError(fmt.Errorf("head of more than %d bytes: %w", c.listener.headBytes(), os.ErrInvalid))
	if c.listener.config.Encrypted {
		return err
	}
	c.share.Release()
	deadline := time.Now().Add(drainTime)
	_ = c.SetDeadline(deadline)
	if _, writeErr := io.WriteString(c.Conn, refusalHead); writeErr != nil {
		return err
	}
	_ = c.CloseWrite()
	for total := 0; total < drainBytes; {
		n, readErr := c.Conn.Read(b)
		if readErr != nil {
			break
		}
		total += n
	}
	return err
}

// refuse answers that there is no room and closes the connection, unless it has a request.
func (c *Conn) refuse() {
	if !c.phase.CompareAndSwap(waiting, refused) {
		return
	}
	if !c.listener.config.Encrypted {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = io.WriteString(c.Conn, refusalBusy)
	}
	_ = c.Close()
}

// readError returns the error as one of a failed read, to which http.Server does not answer.
func readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}
