package once_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/ledger"
	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/fakes"
	"endivehitch/io/flow"
	"endivehitch/io/once"
	"endivehitch/io/peer"
	"endivehitch/io/plat"
)

// mesh carries calls between guards over net/rpc in memory.
type mesh struct {
	mu      sync.Mutex
	servers map[value.InstanceID]*rpc.Server
	// cut refuses calls, and mute carries them out but loses the replies.
	cut, mute atomic.Bool
}

type port struct {
	mesh *mesh
	self value.InstanceID
}

func (p port) Register(name string, receiver any) error {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	p.mesh.servers[p.self] = rpc.NewServer()
	return p.mesh.servers[p.self].RegisterName(name, receiver)
}

func (p port) Call(ctx context.Context, to value.Instance, method string, args, reply any) error {
	p.mesh.mu.Lock()
	server := p.mesh.servers[to.ID]
	p.mesh.mu.Unlock()
	if p.mesh.cut.Load() || server == nil {
		return peer.ErrUnreachable
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	defer client.Close()
	call := client.Go(method, args, reply, nil)
	done := call.Done
	if p.mesh.mute.Load() {
		done = nil
	}
	select {
	case <-done:
		return call.Error
	case <-ctx.Done():
		return fmt.Errorf("await reply: %w", ctx.Err())
	}
}

type rig struct {
	t      testing.TB
	store  *fakes.Store
	mesh   *mesh
	owner  policy.Cell[value.Instance]
	gone   policy.Cell[value.InstanceID]
	tokens atomic.Int64
	// adjust changes the configuration of the guards that are made after it is set.
	adjust func(*once.Config)
}

func newRig(t testing.TB) *rig {
	t.Helper()
	e, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 100})
	assert.NilError(t, err)
	store := fakes.NewStore(e)
	t.Cleanup(store.Drain)
	return &rig{t: t, store: store, mesh: &mesh{servers: map[value.InstanceID]*rpc.Server{}}, adjust: func(*once.Config) {}}
}

func (r *rig) guard(id value.InstanceID) *once.Guard {
	r.t.Helper()
	p := port{mesh: r.mesh, self: id}
	c := once.Config{
		Self:  id,
		Store: r.store,
		Owner: func(int) (value.Instance, bool) {
			o := r.owner.Get()
			return o, o.ID != ""
		},
		Caller:       p,
		Gone:         func(id value.InstanceID) bool { return id == r.gone.Get() },
		Now:          time.Now,
		Rule:         ledger.Rule{Keep: time.Hour, Wait: 10 * time.Second, Bytes: 64 << 10, AnswerBytes: 1 << 10},
		Slots:        4,
		Writes:       100,
		Group:        1000,
		Queue:        1000,
		OwnerTimeout: time.Second,
		StoreTimeout: time.Second,
		SettleWait:   2 * time.Second,
		Backlog:      100,
		Backoff:      policy.Backoff{First: 100 * time.Millisecond, Limit: time.Second},
		NewToken:     func() string { return fmt.Sprint("token-", r.tokens.Add(1)) },
	}
	r.adjust(&c)
	g, err := once.New(c)
	assert.NilError(r.t, err)
	assert.NilError(r.t, g.Register(p))
	r.t.Cleanup(g.Close)
	return g
}

func (r *rig) setFaults(f fakes.Faults) {
	r.t.Helper()
	assert.NilError(r.t, r.store.Set(f))
}

func (r *rig) own(id value.InstanceID) {
	r.owner.Update(func(value.Instance) value.Instance { return value.Instance{ID: id} })
}

func request(key string) value.Request {
	return value.Request{
		Account: "ward-12", Kind: "reorder", Key: value.IdempotencyKey(key), Question: 7,
		Deadline: time.Now().Add(30 * time.Second),
	}
}

func done(body string) flow.Stored {
	return flow.Stored{Head: engine.Head{Status: 201, ContentType: "text/plain"}, Body: []byte(body)}
}
