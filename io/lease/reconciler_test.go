package lease_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/lease"
)

// fakeServer stands for a backend server and records the orders that it receives.
type fakeServer struct {
	mu     sync.Mutex
	loaded []value.VersionKey
	orders []engine.Order
	times  []time.Time
	// ignoresOrders makes the server confirm orders without carrying them out.
	ignoresOrders bool
	// onRead is called before each read of the loaded versions.
	onRead func()
}

func (s *fakeServer) Send(_ context.Context, _ value.BackendServer, o engine.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	s.times = append(s.times, time.Now())
	if !s.ignoresOrders && o.Verb == engine.OrderLoad {
		s.loaded = append(s.loaded, o.Version)
	}
	return nil
}

func (s *fakeServer) LoadedVersions(context.Context, value.BackendServer) ([]value.VersionKey, error) {
	if s.onRead != nil {
		s.onRead()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loaded), nil
}

// inTerm runs the function with the term of a fleet's only contender and returns its error.
func inTerm(t *testing.T, f func(ctx context.Context, term lease.Term) error) error {
	t.Helper()
	fx := newFixture(t, 1)
	fx.advance(time.Second)
	return f(t.Context(), fx.terms.active[fx.contenders[0].id])
}

var loadV2 = lease.DesiredState{Server: value.BackendServer{ID: "s1"}, Version: "m/v2", Loaded: true}

func TestNewHolderWaitsBeforeOrderAndSendsItOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := new(fakeServer)
		start := time.Now()
		err := inTerm(t, func(ctx context.Context, term lease.Term) error {
			for range 3 {
				assert.NilError(t, lease.Reconciler{Commander: backend}.Reconcile(ctx, term, loadV2))
			}
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, len(backend.orders), 1)
		assert.Assert(t, backend.orders[0].FencingToken > 0)
		assert.Assert(t, backend.times[0].Sub(start) >= rule.TakeoverDelay)
	})
}

func TestHolderPausedDuringReadBackSendsNoOrderAfterTermEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.advance(10 * time.Second)
		only := fx.contenders[0]
		term := fx.terms.active[only.id]
		backend := &fakeServer{onRead: func() {
			only.cancel()
			time.Sleep(rule.Length)
		}}
		err := lease.Reconciler{Commander: backend}.Reconcile(t.Context(), term, loadV2)
		assert.ErrorIs(t, err, lease.ErrTermEnded)
		assert.Equal(t, len(backend.orders), 0)
	})
}

func TestOrderWithoutEffectReturnsErrNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeServer{ignoresOrders: true}
		err := inTerm(t, func(ctx context.Context, term lease.Term) error {
			return lease.Reconciler{Commander: backend}.Reconcile(ctx, term, loadV2)
		})
		assert.ErrorIs(t, err, lease.ErrNotConfirmed)
	})
}
