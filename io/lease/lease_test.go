package lease_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/fleet"
	"endivehitch/core/loop"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/fakes"
	"endivehitch/io/lease"
	"endivehitch/io/plat"
)

var rule = fleet.DefaultLeaseRule()

// termLog records the terms of all holders of the test's duty.
type termLog struct {
	mu     sync.Mutex
	fences []int64
	// active holds each contender's latest term.
	active   map[string]lease.Term
	maxValid int
}

// countValid counts the terms that are valid now and keeps the maximum.
func (l *termLog) countValid() {
	l.mu.Lock()
	defer l.mu.Unlock()
	valid := 0
	for _, t := range l.active {
		if t.IsValid(time.Now()) {
			valid++
		}
	}
	l.maxValid = max(l.maxValid, valid)
}

func (l *termLog) add(id string, t lease.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[id] = t
	l.fences = append(l.fences, t.FencingToken())
}

// contender is an instance that contends for the test's duty.
type contender struct {
	id    string
	store *fakes.Store
	// loseSwap makes the next successful swap report an unknown outcome.
	loseSwap atomic.Bool
	swaps    atomic.Int64
	loop     *loop.Loop[state.State, state.Effect]
	cancel   func()
}

// answerLosingStore is a contender's access to the store; it counts swaps and can lose the answer
// of one.
type answerLosingStore struct {
	plat.Store
	c *contender
}

func (l answerLosingStore) Swap(ctx context.Context, s plat.Swap) (int64, error) {
	l.c.swaps.Add(1)
	revision, err := l.Store.Swap(ctx, s)
	if err == nil && l.c.loseSwap.CompareAndSwap(true, false) {
		return 0, plat.ErrUnknown
	}
	return revision, err
}

// fixture is a set of contenders for one duty and their common store.
type fixture struct {
	embedded   *plat.Embedded
	terms      *termLog
	contenders []*contender
}

// newFixture starts n contenders, each with its own access to the same store, so that tests can
// inject faults for one of them.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	embedded, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 1000})
	assert.NilError(t, err)
	fx := &fixture{embedded: embedded, terms: &termLog{active: make(map[string]lease.Term)}}
	for i := range n {
		fx.contenders = append(fx.contenders, fx.start(t, i, n))
	}
	t.Cleanup(func() {
		for _, c := range fx.contenders {
			c.cancel()
		}
		// Leases that were not revoked expire in this time, which ends the store's timers.
		time.Sleep(time.Minute)
	})
	return fx
}

func member(i int) value.Instance {
	return value.Instance{ID: value.InstanceID("instance-" + strconv.Itoa(i)), State: value.InstanceLive}
}

func (f *fixture) start(t *testing.T, i, n int) *contender {
	t.Helper()
	initial := state.New(member(i))
	for j := range n {
		initial = initial.WithInstance(member(j))
	}
	control, err := loop.New(loop.Config[state.State, state.Effect]{Initial: initial, Now: time.Now, Mailbox: 8})
	assert.NilError(t, err)
	cont := &contender{id: string(member(i).ID), store: fakes.NewStore(f.embedded), loop: control}
	r, err := lease.New(lease.Config{
		Observer: control, Store: answerLosingStore{Store: cont.store, c: cont}, Prefix: "endivehitch/duties/", Rule: rule, Seed: uint64(i),
		Duties: []lease.Duty{{Name: "placement", Run: func(ctx context.Context, term lease.Term) error {
			f.terms.add(cont.id, term)
			<-ctx.Done()
			return ctx.Err()
		}}},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	ended.Go(func() { control.Run(ctx) })
	ended.Go(func() {
		for e := range control.Effects() {
			t.Log(e)
		}
	})
	ended.Go(func() { _ = r.Run(ctx) })
	cont.cancel = func() {
		cancel()
		ended.Wait()
	}
	return cont
}

// advance lets the time pass and counts the valid terms every 100 ms.
func (f *fixture) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.terms.countValid()
	}
}

func (f *fixture) holder(t *testing.T) *contender {
	t.Helper()
	e, err := f.embedded.Get(t.Context(), "endivehitch/duties/placement")
	assert.NilError(t, err)
	for _, c := range f.contenders {
		if c.id == string(e.Value) {
			return c
		}
	}
	t.Fatal("no contender holds the duty")
	return nil
}

func (f *fixture) checkTerms(t *testing.T, count int) {
	t.Helper()
	assert.Equal(t, f.terms.maxValid, 1)
	assert.Equal(t, len(f.terms.fences), count)
	for i := 1; i < count; i++ {
		assert.Assert(t, f.terms.fences[i] > f.terms.fences[i-1])
	}
}

func TestOneInstanceAcquiresDutyAndRenewsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 7)
		f.advance(4 * time.Minute)
		f.checkTerms(t, 1)
	})
}

func TestHolderCutOffFromStoreStopsBeforeSuccessorStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 7)
		f.advance(20 * time.Second)
		first := f.holder(t)
		assert.NilError(t, first.store.SetFaults(fakes.StoreFaults{Down: true}))
		f.advance(rule.Length + 10*time.Second)
		assert.Assert(t, f.holder(t) != first)
		f.checkTerms(t, 2)
	})
}

func TestRenewalAnsweredAfterTermEndDoesNotExtendIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		f.advance(20 * time.Second)
		first := f.holder(t)
		assert.NilError(t, first.store.SetFaults(fakes.StoreFaults{Delay: rule.Length + time.Second}))
		f.advance(time.Minute)
		assert.Equal(t, f.terms.maxValid, 1)
		assert.Assert(t, len(f.terms.fences) > 1)
	})
}

func TestLeavingHolderHandsDutyOverWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		f.advance(20 * time.Second)
		first := f.holder(t)
		assert.NilError(t, first.loop.Do(t.Context(), cmds.Leave{}))
		f.advance(3 * time.Second)
		assert.Assert(t, f.holder(t) != first)
		f.checkTerms(t, 2)
	})
}

func TestLostSwapAnswerIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.advance(10 * time.Second)
		only := f.contenders[0]
		only.loseSwap.Store(true)
		assert.NilError(t, only.store.ExpireLeases(t.Context()))
		f.advance(30 * time.Second)
		f.checkTerms(t, 2)
		assert.Assert(t, !only.loseSwap.Load())
		assert.Equal(t, only.swaps.Load(), int64(2))
	})
}

func TestUnsafeLeaseRulesAreRejected(t *testing.T) {
	slowRenewal, longOrder, noTakeoverDelay := rule, rule, rule
	slowRenewal.Renew = slowRenewal.Length
	longOrder.MaxOrderTime = longOrder.Length
	noTakeoverDelay.TakeoverDelay = 0
	for _, bad := range []fleet.LeaseRule{{}, slowRenewal, longOrder, noTakeoverDelay} {
		assert.Assert(t, bad.Check() != nil)
	}
	assert.NilError(t, rule.Check())
}
