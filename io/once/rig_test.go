package once_test

import (
	"fmt"
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
	"endivehitch/io/plat"
)

type rig struct {
	t      testing.TB
	store  *fakes.Store
	mesh   fakes.Mesh
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
	r := &rig{t: t, store: store, adjust: func(*once.Config) {}}
	t.Cleanup(r.mesh.Drain)
	return r
}

func (r *rig) guard(id value.InstanceID) *once.Guard {
	r.t.Helper()
	p := r.mesh.Join(instance(id))
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
		Rule:         ledger.JournalRule{Retention: time.Hour, AbandonAfter: 10 * time.Second, MaxBytes: 64 << 10, MaxAnswerBytes: 1 << 10},
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
	r.owner.Update(func(value.Instance) value.Instance { return instance(id) })
}

// cut makes every instance unreachable to the others.
func (r *rig) cut() {
	r.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{Unsent: true} })
}

// mute loses every reply.
func (r *rig) mute(lose bool) {
	r.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{LoseReply: lose} })
}

func instance(id value.InstanceID) value.Instance {
	return value.Instance{ID: id, PeerAddress: string(id)}
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
