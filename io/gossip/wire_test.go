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

// TestMessagesSurviveNetRPCEncoding guards against messages that lose data when net/rpc encodes them.
// The other tests use an in-memory transport, which encodes nothing.
func TestMessagesSurviveNetRPCEncoding(t *testing.T) {
	store := newFakePlatform()
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	defer ended.Wait()
	defer cancel()
	timing := fleet.DefaultTiming()
	timing.Period = 50 * time.Millisecond
	timing.Readers = 1
	var listeners []net.Listener
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		self := instance(i)
		self.FailureDomain = "guj-a"
		self.PeerAddress = listener.Addr().String()
		listeners = append(listeners, listener)
		store.listed = append(store.listed, self)
	}
	var loops []*loop.Loop[state.State, state.Effect]
	for i, self := range store.listed {
		server, err := peer.NewServer(peer.ServerConfig{})
		assert.NilError(t, err)
		client, err := peer.NewClient(peer.ClientConfig{})
		assert.NilError(t, err)
		control, err := loop.New(loop.Config[state.State, state.Effect]{Initial: state.New(self), Now: time.Now, Mailbox: 64})
		assert.NilError(t, err)
		member, err := gossip.New(gossip.Config{
			Control: control, Caller: client, Registrar: server, List: store, Store: store,
			Prefix: testPrefix, Decode: decode, Timing: timing, Seed: uint64(i),
		})
		assert.NilError(t, err)
		ended.Go(func() { control.Run(ctx) })
		ended.Go(func() {
			for e := range control.Effects() {
				member.Handle(e)
			}
		})
		ended.Go(func() { _ = server.Serve(ctx, listeners[i]) })
		ended.Go(func() {
			_ = member.Run(ctx)
			client.Close()
		})
		loops = append(loops, control)
	}
	text := strings.Repeat("long enough to be compressed ", 100)
	store.putEntry("document", text, 7)
	for _, l := range loops {
		s := await(t, l, func(s state.State) bool { return s.Self.Revision == 7 })
		assert.Equal(t, s.Config.Document.Name, text)
		await(t, l, func(s state.State) bool {
			for _, i := range store.listed {
				known, _ := s.Instance(i.ID)
				if known.State != value.InstanceLive || known.Revision != 7 || known.Digest != digest(text) {
					return false
				}
			}
			return true
		})
	}
	store.update(func(p *fakePlatform) {
		assert.Equal(t, p.watches, 1, "instances watched before they knew of each other")
	})
}

// await returns the first state that matches; if none does, the timeout of the test binary ends the
// test.
func await(t *testing.T, control *loop.Loop[state.State, state.Effect], matches func(state.State) bool) state.State {
	t.Helper()
	for {
		s, changed := control.Watch()
		if matches(s) {
			return s
		}
		<-changed
	}
}
