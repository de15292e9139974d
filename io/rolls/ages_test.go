package rolls_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/loop"
	"endivehitch/core/relay"
	"endivehitch/io/rolls"
)

var errGone = errors.New("instance is gone")

// witnesses answer by address; those that are missing are gone.
type witnesses struct {
	known map[string][]relay.OrderAge
	asked atomic.Int64
}

func (w *witnesses) OrderAges(_ context.Context, address string) ([]relay.OrderAge, error) {
	w.asked.Add(1)
	told, ok := w.known[address]
	if !ok {
		return nil, errGone
	}
	return told, nil
}

// recall runs a recaller that starts during a roll-out, and returns the plan two seconds later.
func recall(t *testing.T, w *witnesses) (plan relay.Plan, took time.Time) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := relay.Feed{Whole: true, Revision: 9}
		for i, e := range []relay.Entry{
			{RollOut: &relay.RollOut{Service: "app", Target: "v2", Within: within}},
			{Member: &relay.Member{Name: "me", Address: "me"}},
			{Member: &relay.Member{Name: "gone", Address: "gone"}},
			{Member: &relay.Member{Name: "new", Address: "new"}},
			{Member: &relay.Member{Name: "old", Address: "old"}},
		} {
			f.Changes = append(f.Changes, relay.Change{Key: string(rune('a' + i)), Revision: int64(i + 1), Entry: e})
		}
		s := relay.New(relay.Member{Name: "me", Address: "me"}).WithFeed(f, time.Now(), 0)
		control, err := loop.New(loop.Config[relay.State, relay.Effect]{Initial: s, Now: time.Now, Mailbox: 4})
		assert.NilError(t, err)
		go control.Run(ctx)
		go func() {
			for range control.Effects() {
				continue
			}
		}()
		took = time.Now()
		go func() { assert.Check(t, rolls.AgeLearner{Peers: w, Control: control}.Run(ctx)) }()
		time.Sleep(2 * time.Second)
		plan, _ = control.Snapshot().Plan("app")
		cancel()
		synctest.Wait()
	})
	return plan, took
}

func TestARestartedInstanceAsksUntilOneKnowsTheOrdersAge(t *testing.T) {
	w := &witnesses{known: map[string][]relay.OrderAge{
		"new": nil,
		"old": {{Service: "app", Revision: 1, Age: 9 * time.Second}},
	}}
	p, took := recall(t, w)
	assert.Assert(t, p.AgeKnown)
	age := took.Sub(p.Seen)
	assert.Assert(t, age > 8*time.Second && age <= 9*time.Second, "%v", age)
}

func TestNobodyIsAskedAgainWhenNoneKnows(t *testing.T) {
	w := &witnesses{}
	p, _ := recall(t, w)
	assert.Assert(t, !p.AgeKnown)
	assert.Equal(t, w.asked.Load(), int64(3))
}
