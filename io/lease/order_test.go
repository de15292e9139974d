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

// server is a backend server that takes orders.
type server struct {
	mu      sync.Mutex
	carried []value.VersionKey
	orders  []engine.Order
	times   []time.Time
	// deaf servers answer orders without carrying them out.
	deaf bool
	// onRead is called before each read back.
	onRead func()
}

func (s *server) Send(_ context.Context, _ value.BackendServer, o engine.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	s.times = append(s.times, time.Now())
	if !s.deaf && o.Verb == engine.OrderLoad {
		s.carried = append(s.carried, o.Version)
	}
	return nil
}

func (s *server) Carried(context.Context, value.BackendServer) ([]value.VersionKey, error) {
	if s.onRead != nil {
		s.onRead()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.carried), nil
}

// inTerm runs the function as the only contender's duty and returns its error.
func inTerm(t *testing.T, f func(ctx context.Context, term lease.Term) error) error {
	t.Helper()
	field := newField(t, 1)
	field.pass(time.Second)
	return f(t.Context(), field.ledger.active[field.contenders[0].id])
}

var load = lease.Goal{Server: value.BackendServer{ID: "s1"}, Version: "m/v2", Carry: true}

func TestOrderWaitsAfterAChangeOfHolderAndConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(server)
		begun := time.Now()
		err := inTerm(t, func(ctx context.Context, term lease.Term) error {
			for range 3 {
				assert.NilError(t, lease.Orders{Commander: s}.Reach(ctx, term, load))
			}
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, len(s.orders), 1)
		assert.Assert(t, s.orders[0].Fence > 0)
		assert.Assert(t, s.times[0].Sub(begun) >= rule.TakeoverDelay)
	})
}

func TestHolderPausedWhileReadingSendsNothingOnWaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		field := newField(t, 1)
		field.pass(10 * time.Second)
		only := field.contenders[0]
		term := field.ledger.active[only.id]
		s := &server{onRead: func() {
			only.cancel()
			time.Sleep(rule.Length)
		}}
		err := lease.Orders{Commander: s}.Reach(t.Context(), term, load)
		assert.ErrorIs(t, err, lease.ErrTermEnded)
		assert.Equal(t, len(s.orders), 0)
	})
}

func TestOrderThatHadNoEffectIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{deaf: true}
		err := inTerm(t, func(ctx context.Context, term lease.Term) error {
			return lease.Orders{Commander: s}.Reach(ctx, term, load)
		})
		assert.ErrorIs(t, err, lease.ErrNotCarried)
	})
}
