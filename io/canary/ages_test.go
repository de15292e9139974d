package canary_test

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
	"endivehitch/io/canary"
)

var errDeparted = errors.New("instance has departed")

// fakePeers answers by address; an instance without an answer has departed.
type fakePeers struct {
	answers map[string][]relay.OrderAge
	asked   atomic.Int64
}

func (p *fakePeers) OrderAges(_ context.Context, address string) ([]relay.OrderAge, error) {
	p.asked.Add(1)
	ages, ok := p.answers[address]
	if !ok {
		return nil, errDeparted
	}
	return ages, nil
}

// learnAge starts an AgeLearner during a roll-out, and returns the roll-out's state two seconds later and
// the time of the start.
func learnAge(t *testing.T, peers *fakePeers) (rollOut relay.RollOutState, started time.Time) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := relay.Feed{Whole: true, Revision: 9}
		for i, e := range []relay.Entry{
			{RollOut: &relay.RollOut{Service: "app", Target: "v2", Within: rollOutTime}},
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
		started = time.Now()
		go func() { assert.Check(t, canary.AgeLearner{Peers: peers, Control: control}.Run(ctx)) }()
		time.Sleep(2 * time.Second)
		rollOut, _ = control.Snapshot().RollOut("app")
		cancel()
		synctest.Wait()
	})
	return rollOut, started
}

func TestRestartedInstanceAsksUntilOneKnowsTheOrderAge(t *testing.T) {
	peers := &fakePeers{answers: map[string][]relay.OrderAge{
		"new": nil,
		"old": {{Service: "app", Revision: 1, Age: 9 * time.Second}},
	}}
	rollOut, started := learnAge(t, peers)
	assert.Assert(t, rollOut.AgeKnown)
	age := started.Sub(rollOut.OrderedAt)
	assert.Assert(t, age > 8*time.Second && age <= 9*time.Second, "age of the order is %v", age)
}

func TestEachInstanceIsAskedOnceWhenNoneKnowsTheOrderAge(t *testing.T) {
	peers := &fakePeers{}
	rollOut, _ := learnAge(t, peers)
	assert.Assert(t, !rollOut.AgeKnown)
	assert.Equal(t, peers.asked.Load(), int64(3))
}
