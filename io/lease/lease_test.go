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

// ledger is what the holders of the test's duty did.
type ledger struct {
	mu     sync.Mutex
	fences []int64
	// active are the terms that hold themselves to be valid.
	active map[string]lease.Term
	most   int
}

// note checks at one moment how many holders believe in their terms.
func (l *ledger) note() {
	l.mu.Lock()
	defer l.mu.Unlock()
	valid := 0
	for _, t := range l.active {
		if t.Valid(time.Now()) {
			valid++
		}
	}
	l.most = max(l.most, valid)
}

func (l *ledger) enter(id string, t lease.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[id] = t
	l.fences = append(l.fences, t.Fence())
}

type contender struct {
	id    string
	store *fakes.Store
	// loseSwap makes the next swap take effect without an answer.
	loseSwap atomic.Bool
	swaps    atomic.Int64
	loop     *loop.Loop[state.State, state.Effect]
	cancel   func()
}

// losing is a contender's store.
type losing struct {
	plat.Store
	c *contender
}

func (l losing) Swap(ctx context.Context, s plat.Swap) (int64, error) {
	l.c.swaps.Add(1)
	revision, err := l.Store.Swap(ctx, s)
	if err == nil && l.c.loseSwap.CompareAndSwap(true, false) {
		return 0, plat.ErrUnknown
	}
	return revision, err
}

type field struct {
	embedded   *plat.Embedded
	ledger     *ledger
	contenders []*contender
}

// newField starts instances that contend for one duty, each with its own way to the same store.
func newField(t *testing.T, n int) *field {
	t.Helper()
	embedded, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 1000})
	assert.NilError(t, err)
	f := &field{embedded: embedded, ledger: &ledger{active: make(map[string]lease.Term)}}
	for i := range n {
		f.contenders = append(f.contenders, f.start(t, i, n))
	}
	t.Cleanup(func() {
		for _, c := range f.contenders {
			c.cancel()
		}
		// Leases that were not revoked lapse, which ends the store's timers.
		time.Sleep(time.Minute)
	})
	return f
}

func member(i int) value.Instance {
	return value.Instance{ID: value.InstanceID("instance-" + strconv.Itoa(i)), State: value.InstanceLive}
}

func (f *field) start(t *testing.T, i, n int) *contender {
	t.Helper()
	initial := state.New(member(i))
	for j := range n {
		initial = initial.WithInstance(member(j))
	}
	l, err := loop.New(loop.Config[state.State, state.Effect]{Initial: initial, Now: time.Now, Mailbox: 8})
	assert.NilError(t, err)
	c := &contender{id: string(member(i).ID), store: fakes.NewStore(f.embedded), loop: l}
	r, err := lease.New(lease.Config{
		Observer: l, Store: losing{Store: c.store, c: c}, Prefix: "endivehitch/duties/", Rule: rule, Seed: uint64(i),
		Duties: []lease.Duty{{Name: "placement", Run: func(ctx context.Context, term lease.Term) error {
			f.ledger.enter(c.id, term)
			<-ctx.Done()
			return ctx.Err()
		}}},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	ended.Go(func() { l.Run(ctx) })
	ended.Go(func() {
		for e := range l.Effects() {
			t.Log(e)
		}
	})
	ended.Go(func() { _ = r.Run(ctx) })
	c.cancel = func() {
		cancel()
		ended.Wait()
	}
	return c
}

// pass lets time go by and looks all the while for two holders at once.
func (f *field) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.ledger.note()
	}
}

func (f *field) holder(t *testing.T) *contender {
	t.Helper()
	e, err := f.embedded.Get(t.Context(), "endivehitch/duties/placement")
	assert.NilError(t, err)
	for _, c := range f.contenders {
		if c.id == string(e.Value) {
			return c
		}
	}
	t.Fatal("nobody holds the duty")
	return nil
}

func (f *field) checkTerms(t *testing.T, terms int) {
	t.Helper()
	assert.Equal(t, f.ledger.most, 1)
	assert.Equal(t, len(f.ledger.fences), terms)
	for i := 1; i < terms; i++ {
		assert.Assert(t, f.ledger.fences[i] > f.ledger.fences[i-1])
	}
}

func TestOneInstanceHoldsTheDutyAndKeepsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newField(t, 7)
		f.pass(4 * time.Minute)
		f.checkTerms(t, 1)
	})
}

func TestHolderCutFromTheServiceEndsBeforeItsSuccessorBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newField(t, 7)
		f.pass(20 * time.Second)
		first := f.holder(t)
		assert.NilError(t, first.store.Set(fakes.Faults{Down: true}))
		f.pass(rule.Length + 10*time.Second)
		assert.Assert(t, f.holder(t) != first)
		f.checkTerms(t, 2)
	})
}

func TestRenewalAnsweredTooLateRevivesNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newField(t, 3)
		f.pass(20 * time.Second)
		first := f.holder(t)
		assert.NilError(t, first.store.Set(fakes.Faults{Delay: rule.Length + time.Second}))
		f.pass(time.Minute)
		assert.Equal(t, f.ledger.most, 1)
		assert.Assert(t, len(f.ledger.fences) > 1)
	})
}

func TestLeavingHolderHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newField(t, 3)
		f.pass(20 * time.Second)
		first := f.holder(t)
		assert.NilError(t, first.loop.Do(t.Context(), cmds.Leave{}))
		f.pass(3 * time.Second)
		assert.Assert(t, f.holder(t) != first)
		f.checkTerms(t, 2)
	})
}

func TestTakingWhoseAnswerIsLostIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newField(t, 1)
		f.pass(10 * time.Second)
		only := f.contenders[0]
		only.loseSwap.Store(true)
		assert.NilError(t, only.store.LapseLeases(t.Context()))
		f.pass(30 * time.Second)
		f.checkTerms(t, 2)
		assert.Assert(t, !only.loseSwap.Load())
		assert.Equal(t, only.swaps.Load(), int64(2))
	})
}

func TestUnsafeRulesAreRefused(t *testing.T) {
	late, long, hasty := rule, rule, rule
	late.Renew = late.Length
	long.MaxOrderTime = long.Length
	hasty.TakeoverDelay = 0
	for _, bad := range []fleet.LeaseRule{{}, late, long, hasty} {
		assert.Assert(t, bad.Check() != nil)
	}
	assert.NilError(t, rule.Check())
}
