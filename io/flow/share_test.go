package flow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

func TestManyDevicesShareOneRunAndAreBilledOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(shared), map[value.ServerID][]act{"s1": {{every: time.Second, pieces: []string{"dear ", "answer"}}}})
		callers := make([]seen, 50)
		var all sync.WaitGroup
		for i := range callers {
			all.Go(func() {
				// Some come before the run, others while it is under way.
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				_, err := g.flow.Serve(t.Context(), job(fmt.Sprint(i), shared), &callers[i])
				assert.Check(t, err == nil, "%v", err)
			})
		}
		all.Wait()
		for i := range callers {
			assert.Equal(t, callers[i], seen{text: "dear answer", ended: true})
		}
		assert.Equal(t, g.runs["s1"], 1)
		billed := make(map[value.RequestID]int)
		for _, b := range g.bills {
			billed[b.Request]++
			assert.Equal(t, b.CostMicros, int64(10))
		}
		assert.Equal(t, len(billed), len(callers))
		assert.Equal(t, len(g.bills), len(callers))
	})
}

func TestFollowersOutliveTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(shared), map[value.ServerID][]act{"s1": {{every: time.Second, pieces: []string{"dear ", "answer"}}}})
		ctx, leave := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() { _, _ = g.flow.Serve(ctx, job("r1", shared), &seen{}) })
		synctest.Wait()
		follower := &seen{}
		var err error
		all.Go(func() { _, err = g.flow.Serve(t.Context(), job("r2", shared), follower) })
		synctest.Wait()
		leave()
		all.Wait()
		assert.NilError(t, err)
		assert.Equal(t, follower.text, "dear answer")
		assert.Equal(t, g.runs["s1"], 1)
	})
}

func TestSharedRunEndsWithItsLastCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(shared), map[value.ServerID][]act{"s1": {{head: time.Hour}, good}})
		var all sync.WaitGroup
		for i := range 2 {
			ctx, leave := context.WithTimeout(t.Context(), time.Duration(i+1)*time.Second)
			defer leave()
			all.Go(func() {
				_, err := g.flow.Serve(ctx, job(fmt.Sprint(i), shared), &seen{})
				assert.Check(t, !notRun(err))
			})
		}
		all.Wait()
		synctest.Wait()
		assert.Equal(t, g.running, 0)
		assert.Equal(t, g.inFlight(), 0)
	})
}

func TestFollowersTryAgainWhenTheLeadersDeadlineEndsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(shared), map[value.ServerID][]act{"s1": {{head: time.Hour}, good}})
		hasty := job("r1", shared)
		hasty.Request = hasty.Request.WithDeadline(time.Now().Add(time.Second))
		var all sync.WaitGroup
		all.Go(func() { _, _ = g.flow.Serve(t.Context(), hasty, &seen{}) })
		synctest.Wait()
		follower := &seen{}
		_, err := g.flow.Serve(t.Context(), job("r2", shared), follower)
		all.Wait()
		assert.NilError(t, err)
		assert.Equal(t, follower.text, "dear answer")
	})
}

func TestOtherAccountsAndQuestionsDoNotShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(shared), map[value.ServerID][]act{"s1": {{head: time.Second, pieces: []string{"x"}}}})
		other := job("r2", shared)
		other.Request = other.Request.WithAccount("ward-9")
		question := job("r3", shared)
		question.Request.Question = 2
		wish := job("r4", shared)
		wish.Request.Quality = value.QualityBest
		var all sync.WaitGroup
		for _, j := range []flow.Job{job("r1", shared), other, question, wish} {
			all.Go(func() {
				_, err := g.flow.Serve(t.Context(), j, &seen{})
				assert.Check(t, err == nil, "%v", err)
			})
		}
		all.Wait()
		assert.Equal(t, g.runs["s1"], 4)
	})
}

func TestSlowFollowerSeesNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(shared), map[value.ServerID][]act{"s1": {{every: time.Millisecond, pieces: []string{"a", "b", "c", "d", "e", "f"}}}})
		lazy := &slowSink{}
		var all sync.WaitGroup
		all.Go(func() { _, _ = g.flow.Serve(t.Context(), job("r1", shared), &seen{}) })
		all.Go(func() { _, _ = g.flow.Serve(t.Context(), job("r2", shared), lazy) })
		all.Wait()
		assert.Equal(t, lazy.text, "abcdef")
		assert.Assert(t, lazy.ended)
	})
}

// slowSink takes far longer for a piece than the engine.
type slowSink struct{ seen }

func (s *slowSink) Write(p engine.Piece) error {
	time.Sleep(time.Second)
	return s.seen.Write(p)
}
