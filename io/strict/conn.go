package strict

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"endivehitch/io/conns"
)

// ErrReset is returned by a Conn that has been lost, where the end of what the server sends would be read otherwise.
var ErrReset = errors.New("connection was lost while it was written to")

// Conn is a connection that reports its end only if the server has ended it. The kernel reports a reset once: if a goroutine that
// writes gets it, one that reads sees a plain end, which would complete an answer that ends with its connection.
type Conn struct {
	net.Conn
	// writing counts the calls of Write in progress.
	writing atomic.Int32
	// failed is set once a write has failed.
	failed atomic.Bool
}

// Dial returns a function that opens connections by dial and returns each as a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: raw}, nil
	}
}

// NetConn returns the connection that is read and written.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed.Store(true)
	}
	// A reader that finds no write in progress must find its failure.
	c.writing.Add(-1)
	return n, err
}

// Read reads from the connection; at the end of one that can't be written to any more, the error wraps ErrReset.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.isLost() {
		return n, fmt.Errorf("read answer: %w", ErrReset)
	}
	return n, err
}

// isLost reports whether a write has failed, or one in progress is about to.
func (c *Conn) isLost() bool {
	isWriting := c.writing.Load() > 0
	return c.failed.Load() || isWriting && !conns.IsWritable(c.Conn)
}
