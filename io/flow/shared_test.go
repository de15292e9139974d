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

func TestIdenticalRequestsShareOneAttemptAndAreBilledOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(shared), map[value.ServerID][]script{"s1": {{pieceInterval: time.Second, pieces: []string{"dear ", "answer"}}}})
		callers := make([]recordingWriter, 50)
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				// The first one starts the execution, and the others join while it is in flight.
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				_, err := h.flow.Serve(t.Context(), newJob(fmt.Sprint(i), shared), &callers[i])
				assert.Check(t, err == nil, "%v", err)
			})
		}
		wg.Wait()
		for i := range callers {
			assert.Equal(t, callers[i], recordingWriter{text: "dear answer", ended: true})
		}
		assert.Equal(t, h.attempts["s1"], 1)
		billed := make(map[value.RequestID]int)
		for _, b := range h.bills {
			billed[b.Request]++
			assert.Equal(t, b.CostMicros, int64(10))
		}
		assert.Equal(t, len(billed), len(callers))
		assert.Equal(t, len(h.bills), len(callers))
	})
}

func TestFollowerGetsTheAnswerWhenTheLeaderLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(shared), map[value.ServerID][]script{"s1": {{pieceInterval: time.Second, pieces: []string{"dear ", "answer"}}}})
		ctx, leave := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = h.flow.Serve(ctx, newJob("r1", shared), &recordingWriter{}) })
		synctest.Wait()
		follower := &recordingWriter{}
		var err error
		wg.Go(func() { _, err = h.flow.Serve(t.Context(), newJob("r2", shared), follower) })
		synctest.Wait()
		leave()
		wg.Wait()
		assert.NilError(t, err)
		assert.Equal(t, follower.text, "dear answer")
		assert.Equal(t, h.attempts["s1"], 1)
	})
}

func TestSharedExecutionEndsWithItsLastCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(shared), map[value.ServerID][]script{"s1": {{headDelay: time.Hour}, completeScript}})
		var wg sync.WaitGroup
		for i := range 2 {
			ctx, leave := context.WithTimeout(t.Context(), time.Duration(i+1)*time.Second)
			defer leave()
			wg.Go(func() {
				_, err := h.flow.Serve(ctx, newJob(fmt.Sprint(i), shared), &recordingWriter{})
				assert.Check(t, !notRun(err))
			})
		}
		wg.Wait()
		synctest.Wait()
		assert.Equal(t, h.running, 0)
		assert.Equal(t, h.inFlight(), 0)
	})
}

func TestFollowerRetriesWhenTheLeadersDeadlineEndsTheSharedExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(shared), map[value.ServerID][]script{"s1": {{headDelay: time.Hour}, completeScript}})
		leader := newJob("r1", shared)
		leader.Request = leader.Request.WithDeadline(time.Now().Add(time.Second))
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = h.flow.Serve(t.Context(), leader, &recordingWriter{}) })
		synctest.Wait()
		follower := &recordingWriter{}
		_, err := h.flow.Serve(t.Context(), newJob("r2", shared), follower)
		wg.Wait()
		assert.NilError(t, err)
		assert.Equal(t, follower.text, "dear answer")
	})
}

func TestRequestsThatDifferDoNotShareAnExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(shared), map[value.ServerID][]script{"s1": {{headDelay: time.Second, pieces: []string{"x"}}}})
		otherAccount := newJob("r2", shared)
		otherAccount.Request = otherAccount.Request.WithAccount("ward-9")
		otherHash := newJob("r3", shared)
		otherHash.Request.RequestHash = 2
		otherQuality := newJob("r4", shared)
		otherQuality.Request.Quality = value.QualityBest
		var wg sync.WaitGroup
		for _, j := range []flow.Job{newJob("r1", shared), otherAccount, otherHash, otherQuality} {
			wg.Go(func() {
				_, err := h.flow.Serve(t.Context(), j, &recordingWriter{})
				assert.Check(t, err == nil, "%v", err)
			})
		}
		wg.Wait()
		assert.Equal(t, h.attempts["s1"], 4)
	})
}

func TestSlowFollowerGetsEveryPiece(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(shared), map[value.ServerID][]script{"s1": {{pieceInterval: time.Millisecond, pieces: []string{"a", "b", "c", "d", "e", "f"}}}})
		follower := &slowWriter{}
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = h.flow.Serve(t.Context(), newJob("r1", shared), &recordingWriter{}) })
		wg.Go(func() { _, _ = h.flow.Serve(t.Context(), newJob("r2", shared), follower) })
		wg.Wait()
		assert.Equal(t, follower.text, "abcdef")
		assert.Assert(t, follower.ended)
	})
}

// slowWriter takes far longer to write a piece than the engine takes to produce one.
type slowWriter struct{ recordingWriter }

func (w *slowWriter) Write(p engine.Piece) error {
	time.Sleep(time.Second)
	return w.recordingWriter.Write(p)
}
