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

// harness holds a store and a mesh of connections in which guards of several instances run.
type harness struct {
	t        testing.TB
	store    *fakes.Store
	mesh     fakes.Mesh
	owner    policy.Cell[value.Instance]
	departed policy.Cell[value.InstanceID]
	tokens   atomic.Int64
	// configure changes the configuration of each guard that is created after it is set.
	configure func(*once.Config)
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	embedded, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 100})
	assert.NilError(t, err)
	store := fakes.NewStore(embedded)
	t.Cleanup(store.Drain)
	h := &harness{t: t, store: store, configure: func(*once.Config) {}}
	t.Cleanup(h.mesh.Drain)
	return h
}

func (h *harness) guard(id value.InstanceID) *once.Guard {
	h.t.Helper()
	port := h.mesh.Join(instance(id))
	c := once.Config{
		Self:  id,
		Store: h.store,
		Owner: func(int) (value.Instance, bool) {
			owner := h.owner.Get()
			return owner, owner.ID != ""
		},
		Caller:       port,
		HasDeparted:  func(id value.InstanceID) bool { return id == h.departed.Get() },
		Now:          time.Now,
		Rule:         ledger.JournalRule{Retention: time.Hour, AbandonAfter: 10 * time.Second, MaxBytes: 64 << 10, MaxAnswerBytes: 1 << 10},
		Slots:        4,
		WriteRate:    100,
		MaxGroup:     1000,
		MaxQueue:     1000,
		OwnerTimeout: time.Second,
		StoreTimeout: time.Second,
		RecordWait:   2 * time.Second,
		MaxBacklog:   100,
		Backoff:      policy.Backoff{InitialDelay: 100 * time.Millisecond, MaxDelay: time.Second},
		NewToken:     func() string { return fmt.Sprint("token-", h.tokens.Add(1)) },
	}
	h.configure(&c)
	g, err := once.New(c)
	assert.NilError(h.t, err)
	assert.NilError(h.t, g.Register(port))
	h.t.Cleanup(g.Close)
	return g
}

func (h *harness) setFaults(f fakes.StoreFaults) {
	h.t.Helper()
	assert.NilError(h.t, h.store.SetFaults(f))
}

func (h *harness) setOwner(id value.InstanceID) {
	h.owner.Update(func(value.Instance) value.Instance { return instance(id) })
}

// disconnectAll makes all instances unreachable from each other.
func (h *harness) disconnectAll() {
	h.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{Unsent: true} })
}

// loseReplies drops every RPC reply, or stops doing so.
func (h *harness) loseReplies(lose bool) {
	h.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{LoseReply: lose} })
}

func instance(id value.InstanceID) value.Instance {
	return value.Instance{ID: id, PeerAddress: string(id)}
}

func request(key string) value.Request {
	return value.Request{
		Account: "ward-12", Kind: "reorder", Key: value.IdempotencyKey(key), RequestHash: 7,
		Deadline: time.Now().Add(30 * time.Second),
	}
}

func storedAnswer(body string) flow.StoredAnswer {
	return flow.NewStoredAnswer(engine.Head{Status: 201, ContentType: "text/plain"}, []byte(body))
}
