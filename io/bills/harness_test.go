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

const flushInterval = 5 * time.Second

// noFlush is a flush interval longer than any test, for tests that call Flush themselves.
func noFlush() time.Duration { return time.Hour }

// billsHarness is a fleet of billers with a store and a network whose faults can be set.
type billsHarness struct {
	t     testing.TB
	store *fakes.Store
	mesh  fakes.Mesh
	mu    sync.Mutex
	fleet []value.Instance
	// departed holds the instances that the others consider departed.
	departed map[value.InstanceID]bool
	// adjust changes the configuration of the billers that are created after it is set.
	adjust func(*bills.Config)
}

func newHarness(t testing.TB) *billsHarness {
	t.Helper()
	e, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 100})
	assert.NilError(t, err)
	h := &billsHarness{t: t, store: fakes.NewStore(e), departed: map[value.InstanceID]bool{}, adjust: func(*bills.Config) {}}
	t.Cleanup(h.store.Drain)
	t.Cleanup(h.mesh.Drain)
	return h
}

// biller is the running Biller of one instance, which has a failure domain of its own.
type biller struct {
	*bills.Biller
	port *fakes.Port
	stop func()
}

// biller starts the instance and its Biller, which run until stop is called or the test ends.
func (h *billsHarness) biller(id value.InstanceID) biller {
	h.t.Helper()
	self := value.Instance{ID: id, PeerAddress: string(id), FailureDomain: value.FailureDomain(id), State: value.InstanceLive}
	h.mu.Lock()
	h.fleet = append(h.fleet, self)
	h.mu.Unlock()
	port := h.mesh.Join(self)
	c := bills.Config{
		Self:    self,
		Started: time.Now(),
		Store:   h.store,
		Caller:  port,
		Holders: func() []value.Instance {
			h.mu.Lock()
			defer h.mu.Unlock()
			var others []value.Instance
			for _, i := range h.fleet {
				if i.ID != id && i.State == value.InstanceLive {
					others = append(others, i)
				}
			}
			return others[:min(len(others), 2)]
		},
		NeedsTakeover: func(id value.InstanceID) bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.departed[id]
		},
		MinCopies:          1,
		FlushInterval:      func() time.Duration { return flushInterval },
		ReplicationTimeout: 2 * time.Second,
		CallTimeout:        time.Second,
		MaxBacklog:         1000,
		MaxSegmentBytes:    8 << 10,
		MaxHeldEntries:     1000,
		Backoff:            policy.Backoff{InitialDelay: 100 * time.Millisecond, MaxDelay: time.Second},
		Seed:               uint64(len(id)),
	}
	h.adjust(&c)
	b, err := bills.New(c)
	assert.NilError(h.t, err)
	assert.NilError(h.t, b.Register(port))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { b.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		running.Wait()
		b.Close()
	})
	h.t.Cleanup(stop)
	return biller{Biller: b, port: port, stop: stop}
}

// kill stops the instance without a flush and marks it as departed.
func (h *billsHarness) kill(b biller, id value.InstanceID) {
	h.mesh.Remove(string(id))
	b.stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.departed[id] = true
	for i := range h.fleet {
		if h.fleet[i].ID == id {
			h.fleet[i] = h.fleet[i].WithState(value.InstanceGone)
		}
	}
}

func (h *billsHarness) setFaults(f fakes.StoreFaults) {
	h.t.Helper()
	assert.NilError(h.t, h.store.SetFaults(f))
}

// setPartitioned makes every instance unreachable to the others, or reachable again.
func (h *billsHarness) setPartitioned(partitioned bool) {
	h.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{Unsent: partitioned} })
}

// audit reconciles the bills in the store with the answered requests 0 to n-1.
func (h *billsHarness) audit(n int) query.Audit {
	h.t.Helper()
	segments, err := bills.ReadSegments(context.Background(), h.store)
	assert.NilError(h.t, err)
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
