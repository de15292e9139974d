package conns_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/io/conns"
)

var key = conns.Key{ID: "s", Address: "s:1"}

// harness is a pool whose connections all lead to one local listener, with a settable clock.
type harness struct {
	pool        *conns.Pool
	now         time.Time
	serverConns chan net.Conn
	dials       int
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, l.Close()) })
	h := &harness{now: time.Unix(100, 0), serverConns: make(chan net.Conn, 10)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.serverConns <- c
		}
	}()
	h.pool, err = conns.New(conns.Config{
		Now: func() time.Time { return h.now }, MaxIdlePerServer: 2, ReadBufferBytes: 512,
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			h.dials++
			return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
		},
	})
	assert.NilError(t, err)
	return h
}

func (h *harness) get(t *testing.T, forceNew bool) *conns.Conn {
	t.Helper()
	c, err := h.pool.Get(t.Context(), key, forceNew)
	assert.NilError(t, err)
	return c
}

func TestIdleConnectionIsReusedUntilItExpires(t *testing.T) {
	h := newHarness(t)
	h.pool.Put(h.get(t, false), time.Second)
	c := h.get(t, false)
	assert.Assert(t, c.Reused)
	assert.Equal(t, h.dials, 1)
	h.pool.Put(c, time.Second)
	h.now = h.now.Add(2 * time.Second)
	assert.Assert(t, !h.get(t, false).Reused)
}

func TestForcedNewConnectionIsNotReused(t *testing.T) {
	h := newHarness(t)
	h.pool.Put(h.get(t, false), time.Second)
	assert.Assert(t, !h.get(t, true).Reused)
}

// waitForData waits until data or the end of the connection has arrived, without consuming the data.
func waitForData(t *testing.T, c *conns.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, _ = c.Reader.Peek(1)
}

func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	h := newHarness(t)
	c := h.get(t, false)
	assert.NilError(t, (<-h.serverConns).Close())
	waitForData(t, c)
	h.pool.Put(c, time.Minute)
	assert.Assert(t, !h.get(t, false).Reused)
}

func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	h := newHarness(t)
	c := h.get(t, false)
	_, err := (<-h.serverConns).Write([]byte("HTTP/1.1 200 OK\r\n"))
	assert.NilError(t, err)
	waitForData(t, c)
	h.pool.Put(c, time.Minute)
	assert.Assert(t, !h.get(t, false).Reused)
}

func TestRetainClosesConnectionsOfUnwantedServers(t *testing.T) {
	h := newHarness(t)
	h.pool.Put(h.get(t, false), time.Minute)
	h.pool.Retain(func(conns.Key) bool { return false })
	assert.Assert(t, !h.get(t, false).Reused)
}

func TestIdleConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	h := newHarness(t)
	var open []*conns.Conn
	for range 3 {
		open = append(open, h.get(t, false))
	}
	for _, c := range open {
		h.pool.Put(c, time.Minute)
	}
	for _, want := range []bool{true, true, false} {
		assert.Equal(t, h.get(t, false).Reused, want)
	}
}

func TestReaderFailsBeyondTheReadLimit(t *testing.T) {
	h := newHarness(t)
	c := h.get(t, false)
	server := <-h.serverConns
	_, err := server.Write([]byte("0123456789"))
	assert.NilError(t, err)
	c.LimitReads(6)
	got, err := io.ReadAll(c.Reader)
	assert.ErrorIs(t, err, conns.ErrReadLimit)
	assert.Equal(t, string(got), "012345")
	c.UnlimitReads()
	assert.NilError(t, server.Close())
	got, err = io.ReadAll(c.Reader)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "6789")
}

// Guards against a request to a server that has come back as another process, over a connection that is opened because the
// one before has closed the idle ones.
func TestNoConnectionIsOpenedOnceTheServerHasClosedIdleOnes(t *testing.T) {
	h := newHarness(t)
	steady := func() (*conns.Conn, error) { return h.pool.GetSteady(t.Context(), key) }
	c, err := steady()
	assert.NilError(t, err, "there was no idle connection")
	h.pool.Put(c, time.Second)
	h.now = h.now.Add(2 * time.Second)
	c, err = steady()
	assert.NilError(t, err, "the idle connection had expired")
	assert.NilError(t, (<-h.serverConns).Close())
	h.pool.Put(c, time.Second)
	assert.NilError(t, (<-h.serverConns).Close())
	for {
		reused, err := steady()
		if err != nil {
			assert.ErrorIs(t, err, conns.ErrIdleClosed)
			break
		}
		// The close has not arrived yet.
		h.pool.Put(reused, time.Second)
	}
	_, err = steady()
	assert.NilError(t, err, "the loss is told once")
}
