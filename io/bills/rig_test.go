package bills_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

const flushTime = 5 * time.Second

// never is the time between flushes where the test flushes by itself.
func never() time.Duration { return time.Hour }

type rig struct {
	t     testing.TB
	store *fakes.Store
	mesh  fakes.Mesh
	mu    sync.Mutex
	fleet []value.Instance
	gone  map[value.InstanceID]bool
	// adjust changes the configuration of the billers that are made after it is set.
	adjust func(*bills.Config)
}

func newRig(t testing.TB) *rig {
	t.Helper()
	e, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 100})
	assert.NilError(t, err)
	r := &rig{t: t, store: fakes.NewStore(e), gone: map[value.InstanceID]bool{}, adjust: func(*bills.Config) {}}
	t.Cleanup(r.store.Drain)
	t.Cleanup(r.mesh.Drain)
	return r
}

// biller is one running instance, in a failure domain of its own.
type biller struct {
	*bills.Biller
	port *fakes.Port
	stop func()
}

func (r *rig) biller(id value.InstanceID) biller {
	r.t.Helper()
	self := value.Instance{ID: id, PeerAddress: string(id), FailureDomain: value.FailureDomain(id), State: value.InstanceLive}
	r.mu.Lock()
	r.fleet = append(r.fleet, self)
	r.mu.Unlock()
	port := r.mesh.Join(self)
	c := bills.Config{
		Self:   self,
		Store:  r.store,
		Caller: port,
		Holders: func() []value.Instance {
			r.mu.Lock()
			defer r.mu.Unlock()
			var others []value.Instance
			for _, i := range r.fleet {
				if i.ID != id && i.State == value.InstanceLive {
					others = append(others, i)
				}
			}
			return others[:min(len(others), 2)]
		},
		Gone: func(id value.InstanceID) bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.gone[id]
		},
		Copies:       1,
		Flush:        func() time.Duration { return flushTime },
		Patience:     2 * time.Second,
		Timeout:      time.Second,
		Backlog:      1000,
		SegmentBytes: 8 << 10,
		HeldEntries:  1000,
		Backoff:      policy.Backoff{First: 100 * time.Millisecond, Limit: time.Second},
		Seed:         uint64(len(id)),
	}
	r.adjust(&c)
	b, err := bills.New(c)
	assert.NilError(r.t, err)
	assert.NilError(r.t, b.Register(port))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { b.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		running.Wait()
		b.Close()
	})
	r.t.Cleanup(stop)
	return biller{Biller: b, port: port, stop: stop}
}

// kill ends the instance at once and has the others learn of it.
func (r *rig) kill(b biller, id value.InstanceID) {
	r.mesh.Remove(string(id))
	b.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone[id] = true
	for i := range r.fleet {
		if r.fleet[i].ID == id {
			r.fleet[i] = r.fleet[i].WithState(value.InstanceGone)
		}
	}
}

func (r *rig) setFaults(f fakes.Faults) {
	r.t.Helper()
	assert.NilError(r.t, r.store.Set(f))
}

// cut makes every instance unreachable to the others.
func (r *rig) cut(off bool) {
	r.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{Unsent: off} })
}

// audit reconciles what the store holds with the requests 0 to n-1.
func (r *rig) audit(n int) query.Audit {
	r.t.Helper()
	segments, err := bills.Read(context.Background(), r.store)
	assert.NilError(r.t, err)
	var answered []value.RequestID
	for i := range n {
		answered = append(answered, bill(i).Request)
	}
	return query.Reconcile(segments, answered)
}

func bill(n int) value.Bill {
	return value.Bill{
		Request: value.RequestID(fmt.Sprintf("request-%04d", n)), Account: "ward-12", Kind: "menu-draft",
		Version: "drafting-llm/small", InputTokens: 120, OutputTokens: 400, CostMicros: 132, Runs: 1,
		At: time.Date(2026, 1, 1, 0, 0, n, 0, time.UTC),
	}
}
