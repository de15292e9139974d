package gossip_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/fleet"
	"endivehitch/core/loop"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/gossip"
	"endivehitch/io/peer"
)

// TestMessagesPassOverNetRPC brings about what the transport in memory can't: messages that don't survive their encoding.
func TestMessagesPassOverNetRPC(t *testing.T) {
	p := newPlatform()
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	defer ended.Wait()
	defer cancel()
	timing := fleet.DefaultTiming()
	timing.Period = 50 * time.Millisecond
	timing.Readers = 1
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		self := instance(i)
		self.FailureDomain = "guj-a"
		self.PeerAddress = l.Addr().String()
		listeners = append(listeners, l)
		p.listed = append(p.listed, self)
	}
	var loops []*loop.Loop[state.State, state.Effect]
	for i, self := range p.listed {
		server, err := peer.NewServer(peer.ServerConfig{})
		assert.NilError(t, err)
		client, err := peer.NewClient(peer.ClientConfig{})
		assert.NilError(t, err)
		l, err := loop.New(loop.Config[state.State, state.Effect]{Initial: state.New(self), Now: time.Now, Mailbox: 64})
		assert.NilError(t, err)
		g, err := gossip.New(gossip.Config{
			Control: l, Caller: client, Registrar: server, List: p, Store: p,
			Prefix: testPrefix, Decode: decode, Timing: timing, Seed: uint64(i),
		})
		assert.NilError(t, err)
		ended.Go(func() { l.Run(ctx) })
		ended.Go(func() {
			for e := range l.Effects() {
				g.Handle(e)
			}
		})
		ended.Go(func() { _ = server.Serve(ctx, listeners[i]) })
		ended.Go(func() {
			_ = g.Run(ctx)
			client.Close()
		})
		loops = append(loops, l)
	}
	text := strings.Repeat("long enough to be compressed ", 100)
	p.put("document", text, 7)
	for _, l := range loops {
		s := await(t, l, func(s state.State) bool { return s.Self.Revision == 7 })
		assert.Equal(t, s.Config.Document.Name, text)
		await(t, l, func(s state.State) bool {
			for _, i := range p.listed {
				known, _ := s.Instance(i.ID)
				if known.State != value.InstanceLive || known.Revision != 7 || known.Digest != digest(text) {
					return false
				}
			}
			return true
		})
	}
	p.set(func(p *platform) { assert.Equal(t, p.watches, 1, "instances watched before they knew of each other") })
}

// await returns the first state that fits; a test that waits in vain ends with the test binary's own timeout.
func await(t *testing.T, l *loop.Loop[state.State, state.Effect], fits func(state.State) bool) state.State {
	t.Helper()
	for {
		s, changed := l.Watch()
		if fits(s) {
			return s
		}
		<-changed
	}
}
