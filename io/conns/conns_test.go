package conns_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/io/conns"
)

var key = conns.Key{ID: "s", Address: "s:1"}

type rig struct {
	pool  *conns.Pool
	now   time.Time
	peers chan net.Conn
	dials int
}

func newRig(t *testing.T) *rig {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, l.Close()) })
	r := &rig{now: time.Unix(100, 0), peers: make(chan net.Conn, 10)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.peers <- c
		}
	}()
	r.pool, err = conns.New(conns.Config{
		Now: func() time.Time { return r.now }, MaxIdle: 2, Buffer: 512,
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			r.dials++
			return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
		},
	})
	assert.NilError(t, err)
	return r
}

func (r *rig) get(t *testing.T, fresh bool) *conns.Conn {
	t.Helper()
	c, err := r.pool.Get(t.Context(), key, fresh)
	assert.NilError(t, err)
	return c
}

func TestAnIdleConnectionIsUsedAgainUntilItsTime(t *testing.T) {
	r := newRig(t)
	r.pool.Put(r.get(t, false), time.Second)
	c := r.get(t, false)
	assert.Assert(t, c.Reused)
	assert.Equal(t, r.dials, 1)
	r.pool.Put(c, time.Second)
	r.now = r.now.Add(2 * time.Second)
	assert.Assert(t, !r.get(t, false).Reused)
}

func TestAFreshConnectionIsNew(t *testing.T) {
	r := newRig(t)
	r.pool.Put(r.get(t, false), time.Second)
	assert.Assert(t, !r.get(t, true).Reused)
}

// arrived waits until the connection has something to read, which Peek leaves where it is.
func arrived(t *testing.T, c *conns.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, _ = c.R.Peek(1)
}

func TestAConnectionThatTheServerClosedIsNotUsedAgain(t *testing.T) {
	r := newRig(t)
	c := r.get(t, false)
	assert.NilError(t, (<-r.peers).Close())
	arrived(t, c)
	r.pool.Put(c, time.Minute)
	assert.Assert(t, !r.get(t, false).Reused)
}

func TestAConnectionWithUnaskedBytesIsNotUsedAgain(t *testing.T) {
	r := newRig(t)
	c := r.get(t, false)
	_, err := (<-r.peers).Write([]byte("HTTP/1.1 200 OK\r\n"))
	assert.NilError(t, err)
	arrived(t, c)
	r.pool.Put(c, time.Minute)
	assert.Assert(t, !r.get(t, false).Reused)
}

func TestRetainDropsServersThatAreGone(t *testing.T) {
	r := newRig(t)
	r.pool.Put(r.get(t, false), time.Minute)
	r.pool.Retain(func(conns.Key) bool { return false })
	assert.Assert(t, !r.get(t, false).Reused)
}

func TestNoMoreThanTheBoundIsKept(t *testing.T) {
	r := newRig(t)
	var open []*conns.Conn
	for range 3 {
		open = append(open, r.get(t, false))
	}
	for _, c := range open {
		r.pool.Put(c, time.Minute)
	}
	for _, want := range []bool{true, true, false} {
		assert.Equal(t, r.get(t, false).Reused, want)
	}
}
