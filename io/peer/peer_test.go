package peer_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

type wireAsk struct{ Text string }

type wireTell struct{ Text string }

var (
	echo = peer.Method[wireAsk, wireTell]{Name: "Echo"}
	hang = peer.Method[wireAsk, wireTell]{Name: "Hang"}
)

// pipes is a listener whose connections stay in memory.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	dials  int
	last   net.Conn
	refuse bool
}

func newPipes() *pipes {
	return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	p.dials++
	if p.refuse {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	p.last = near
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, errors.New("connection refused")
	}
}

type rig struct {
	pipes  *pipes
	client *peer.Client
	to     value.Instance
	// release ends the calls of Hang.
	release chan struct{}
	// stop ends the server, which then tells how.
	stop  func()
	ended chan error
}

func newRig(t *testing.T, c peer.ClientConfig) rig {
	t.Helper()
	r := rig{pipes: newPipes(), to: value.Instance{ID: "b", PeerAddress: "b:1"}, release: make(chan struct{})}
	server, err := peer.NewServer(peer.ServerConfig{})
	assert.NilError(t, err)
	assert.NilError(t, echo.Serve(server, func(a wireAsk) (wireTell, error) {
		if a.Text == "fail" {
			return wireTell{}, errors.New("refused by handler")
		}
		return wireTell(a), nil
	}))
	assert.NilError(t, hang.Serve(server, func(a wireAsk) (wireTell, error) {
		<-r.release
		return wireTell(a), nil
	}))
	ctx, stop := context.WithCancel(t.Context())
	r.stop, r.ended = stop, make(chan error, 1)
	go func() {
		r.ended <- server.Serve(ctx, r.pipes)
		close(r.ended)
	}()
	c.Dial = r.pipes.dial
	r.client, err = peer.NewClient(c)
	assert.NilError(t, err)
	t.Cleanup(func() {
		r.client.Close()
		close(r.release)
		stop()
		assert.NilError(t, <-r.ended)
	})
	return r
}

func (r rig) call(t *testing.T, m peer.Method[wireAsk, wireTell], text string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	tell, err := m.Call(ctx, r.client, r.to, wireAsk{Text: text})
	if err == nil {
		assert.Equal(t, tell.Text, text)
	}
	return err
}

func TestOneConnectionIsKeptAndClosedWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{Idle: time.Minute})
		for range 5 {
			assert.NilError(t, r.call(t, echo, "hello"))
			time.Sleep(50 * time.Second)
		}
		assert.Equal(t, r.pipes.dials, 1)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, r.client.Open(), 0)
		assert.NilError(t, r.call(t, echo, "again"))
		assert.Equal(t, r.pipes.dials, 2)
	})
}

func TestHandlersErrorIsNotUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{})
		err := r.call(t, echo, "fail")
		assert.ErrorContains(t, err, "refused by handler")
		assert.Assert(t, !errors.Is(err, peer.ErrUnreachable))
		assert.NilError(t, r.call(t, echo, "fine"))
		assert.Equal(t, r.pipes.dials, 1)
	})
}

func TestRefusedDialIsUnreachableAndBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{})
		r.pipes.refuse = true
		for range 100 {
			assert.ErrorIs(t, r.call(t, echo, "hello"), peer.ErrUnreachable)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, r.pipes.dials < 12, "%d dials in 10s", r.pipes.dials)
		r.pipes.refuse = false
		time.Sleep(10 * time.Second)
		assert.NilError(t, r.call(t, echo, "hello"))
	})
}

func TestUnansweredCallLeavesOpenWhetherItRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{})
		err := r.call(t, hang, "slow")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, !errors.Is(err, peer.ErrUnreachable))
		// The silent connection is given up, so that a replaced instance is reached at once.
		assert.NilError(t, r.call(t, echo, "hello"))
		assert.Equal(t, r.pipes.dials, 2)
	})
}

func TestCutConnectionLeavesOpenWhetherTheCallRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{})
		failed := make(chan error, 1)
		go func() { failed <- r.call(t, hang, "slow") }()
		synctest.Wait()
		assert.NilError(t, r.pipes.last.Close())
		err := <-failed
		assert.Assert(t, err != nil)
		assert.Assert(t, !errors.Is(err, peer.ErrUnreachable), "%v", err)
		assert.NilError(t, r.call(t, echo, "hello"))
	})
}

func TestCallsUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{PerPeer: 2})
		failed := make(chan error, 2)
		for range 2 {
			go func() { failed <- r.call(t, hang, "slow") }()
		}
		synctest.Wait()
		assert.ErrorIs(t, r.call(t, echo, "third"), peer.ErrUnreachable)
		assert.Assert(t, <-failed != nil)
		assert.Assert(t, <-failed != nil)
		synctest.Wait()
		assert.NilError(t, r.call(t, echo, "fourth"))
	})
}

func TestOversizedMessageEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{})
		assert.Assert(t, r.call(t, echo, strings.Repeat("x", 3<<20)) != nil)
		assert.NilError(t, r.call(t, echo, "small"))
	})
}

func TestClosedClientSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{})
		r.client.Close()
		assert.ErrorIs(t, r.call(t, echo, "late"), peer.ErrUnreachable)
		assert.Equal(t, r.pipes.dials, 0)
	})
}

func TestStoppingServerFinishesCallsUnderWayAndTakesNoFurtherOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{})
		failed := make(chan error, 1)
		go func() { failed <- r.call(t, hang, "slow") }()
		synctest.Wait()
		r.stop()
		synctest.Wait()
		late := make(chan error, 1)
		go func() { late <- r.call(t, echo, "late") }()
		synctest.Wait()
		r.release <- struct{}{}
		assert.NilError(t, <-failed)
		assert.Assert(t, <-late != nil)
		assert.NilError(t, <-r.ended)
	})
}

func TestStoppingServerDoesNotWaitForCallsForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, peer.ClientConfig{})
		assert.Assert(t, r.call(t, hang, "stuck") != nil)
		r.stop()
		assert.ErrorContains(t, <-r.ended, "outlasted the grace time")
	})
}
