package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"endivehitch/io/conns"
)

// connUse says what a connection is used for.
type connUse = int32

const (
	// connFresh is a connection without a request so far, connIdle one between two requests.
	connFresh connUse = iota
	connIdle
	// connBusy has a request whose answer is not written whole.
	connBusy
	// connClosing is closed by the server; a request that is still read on it must not be served.
	connClosing
)

// trackedConn is a connection with its use, which decides who of its reader and the server's shutdown comes first.
type trackedConn struct {
	raw net.Conn
	use atomic.Int32
}

// tracker holds the connections of a server.
type tracker struct {
	conns sync.Map
	// open counts the connections, and busy those that have a request.
	open atomic.Int64
	busy atomic.Int64
	// quiet receives a value when open or busy has dropped to zero.
	quiet chan struct{}
}

type connKey struct{}

// Conn returns the connection of the request with the context, or nil if a Server doesn't serve it.
func Conn(ctx context.Context) net.Conn {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return nil
	}
	return c.raw
}

// withConn is a server's ConnContext: it gives the requests of a connection access to its use.
func (t *tracker) withConn(ctx context.Context, c net.Conn) context.Context {
	tracked := &trackedConn{raw: c}
	t.conns.Store(c, tracked)
	return context.WithValue(ctx, connKey{}, tracked)
}

// acquire reports whether the request's connection may still serve it, and if so marks the connection as busy.
func (t *tracker) acquire(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*trackedConn)
	if !ok {
		return true
	}
	// The connection counts before its use changes, so that a shutdown which finds it busy also waits for it.
	t.busy.Add(1)
	if c.use.CompareAndSwap(connFresh, connBusy) || c.use.CompareAndSwap(connIdle, connBusy) {
		return true
	}
	t.decrement(&t.busy)
	return c.use.Load() == connBusy
}

// observe is a server's ConnState.
func (t *tracker) observe(raw net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		t.open.Add(1)
	case http.StateIdle:
		if c := t.tracked(raw); c != nil && c.use.CompareAndSwap(connBusy, connIdle) {
			t.decrement(&t.busy)
		}
	case http.StateClosed, http.StateHijacked:
		if c := t.tracked(raw); c != nil && c.use.Swap(connClosing) == connBusy {
			t.decrement(&t.busy)
		}
		t.conns.Delete(raw)
		t.decrement(&t.open)
	}
}

func (t *tracker) tracked(raw net.Conn) *trackedConn {
	c, ok := t.conns.Load(raw)
	if !ok {
		return nil
	}
	return c.(*trackedConn)
}

// closeIdle closes the connections between two requests, except those on which the next one has arrived.
func (t *tracker) closeIdle() {
	t.conns.Range(func(_, c any) bool {
		c.(*trackedConn).closeIdle()
		return true
	})
}

// closeUnused closes all connections that have no request.
func (t *tracker) closeUnused() {
	t.conns.Range(func(_, c any) bool {
		c.(*trackedConn).close(connIdle)
		c.(*trackedConn).close(connFresh)
		return true
	})
}

func (c *trackedConn) closeIdle() {
	if conns.Peek(c.raw) != conns.PeekData {
		c.close(connIdle)
	}
}

// close closes the connection if it has the use.
func (c *trackedConn) close(use connUse) {
	if c.use.CompareAndSwap(use, connClosing) {
		// It fails only if the caller has closed it.
		_ = c.raw.Close()
	}
}

func (t *tracker) decrement(counter *atomic.Int64) {
	if counter.Add(-1) > 0 {
		return
	}
	select {
	case t.quiet <- struct{}{}:
	default:
		// A value is waiting already.
	}
}
