package flow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/flow"
)

// serveAll serves the jobs concurrently, each started once the earlier ones wait, and returns their
// errors in the order of the jobs.
func serveAll(t *testing.T, h *harness, jobs []flow.Job) []error {
	t.Helper()
	errs := make([]error, len(jobs))
	var wg sync.WaitGroup
	for i, j := range jobs {
		wg.Go(func() { _, errs[i] = h.flow.Serve(t.Context(), j, &recordingWriter{}) })
		synctest.Wait()
	}
	wg.Wait()
	return errs
}

func TestConcurrentRequestsAreAllServedOrRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(menu), map[value.ServerID][]script{"s1": {completeScript}})
		errs := make([]error, 60)
		var wg sync.WaitGroup
		for i := range errs {
			// The requests start without synctest.Wait between them, so that some are queued while
			// others end.
			wg.Go(func() { _, errs[i] = h.flow.Serve(t.Context(), newJob(fmt.Sprint(i), menu), &recordingWriter{}) })
		}
		wg.Wait()
		served := 0
		for _, err := range errs {
			if err == nil {
				served++
				continue
			}
			assert.Equal(t, reasonOf(err), value.ReasonQueueFull)
		}
		assert.Assert(t, served >= 50, "%d served", served)
		assert.Equal(t, h.inFlight(), 0)
	})
}

func TestRequestCancelledInTheQueueIsReportedNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(spelling), map[value.ServerID][]script{"s1": {{headDelay: 5 * time.Second, pieces: []string{"x"}}}})
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = h.flow.Serve(t.Context(), newJob("r1", spelling), &recordingWriter{}) })
		synctest.Wait()
		ctx, leave := context.WithCancel(t.Context())
		var left, stayed error
		wg.Go(func() { _, left = h.flow.Serve(ctx, newJob("r2", spelling), &recordingWriter{}) })
		synctest.Wait()
		wg.Go(func() { _, stayed = h.flow.Serve(t.Context(), newJob("r3", spelling), &recordingWriter{}) })
		synctest.Wait()
		assert.Equal(t, h.flow.Waiting(), 2)
		leave()
		wg.Wait()
		assert.Equal(t, reasonOf(left), value.ReasonCanceled)
		assert.Assert(t, notRun(left))
		assert.NilError(t, stayed)
		assert.Equal(t, h.attempts["s1"], 2)
	})
}

func TestWaitingRequestsAreRefusedWhenTheirServersAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(spelling), map[value.ServerID][]script{"s1": {{headDelay: 50 * time.Second}}})
		changed := make(chan struct{})
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() {
			h.flow.Follow(ctx, func() (state.State, <-chan struct{}) { return h.snapshot(), changed })
		})
		wg.Go(func() { _, _ = h.flow.Serve(t.Context(), newJob("r1", spelling), &recordingWriter{}) })
		synctest.Wait()
		var err error
		start := time.Now()
		wg.Go(func() {
			_, err = h.flow.Serve(t.Context(), newJob("r2", spelling), &recordingWriter{})
			assert.Equal(t, time.Since(start), time.Second)
		})
		time.Sleep(time.Second)
		previous := changed
		h.withLock(func() { h.control = h.control.WithoutServer("s1") })
		changed = make(chan struct{})
		close(previous)
		synctest.Wait()
		stop()
		wg.Wait()
		assert.Equal(t, reasonOf(err), value.ReasonNoServer)
		assert.Assert(t, notRun(err))
	})
}

func TestWaitBeyondTheDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(spelling), map[value.ServerID][]script{"s1": {{headDelay: time.Second, pieces: []string{"x"}}}})
		for range 25 {
			_, err := h.flow.Serve(t.Context(), newJob("r", spelling), &recordingWriter{})
			assert.NilError(t, err)
		}
		jobs := make([]flow.Job, 10)
		for i := range jobs {
			jobs[i] = newJob(fmt.Sprint(i), spelling)
			jobs[i].Request.Deadline = time.Now().Add(3500 * time.Millisecond)
		}
		refused := 0
		for _, err := range serveAll(t, h, jobs) {
			if err == nil {
				continue
			}
			refused++
			assert.Equal(t, reasonOf(err), value.ReasonOverloaded)
			assert.Assert(t, notRun(err))
		}
		assert.Equal(t, refused, 7)
	})
}

func TestFloodFromOneAccountLeavesTheOtherItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(spelling), map[value.ServerID][]script{"s1": {{headDelay: 100 * time.Millisecond, pieces: []string{"x"}}}})
		var jobs []flow.Job
		for i := range 200 {
			jobs = append(jobs, newJob(fmt.Sprint("flood", i), spelling))
		}
		for i := range 20 {
			j := newJob(fmt.Sprint("own", i), spelling)
			j.Request = j.Request.WithAccount("ward-9")
			jobs = append(jobs, j)
		}
		errs := serveAll(t, h, jobs)
		assert.Assert(t, reasonOf(errs[150]) != "", "part of the flood must be refused")
		var last time.Time
		for _, b := range h.bills {
			if b.Account == "ward-9" {
				last = b.At
			}
		}
		for i := range 20 {
			assert.NilError(t, errs[200+i], "the other account stays within its share")
		}
		// The accounts get the slot in turn, so that the last of 20 requests is the 40th after the
		// attempt that was in flight.
		assert.Assert(t, last.Sub(h.bills[0].At) <= 41*100*time.Millisecond, "served by %s", last.Sub(h.bills[0].At))
	})
}

func TestAccountIsLimitedToItsMaxInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDocument(spelling)
		d.ClientAccounts[0].MaxInFlight = 2
		h := newHarness(t, d, map[value.ServerID][]script{"s1": {{headDelay: time.Second, pieces: []string{"x"}}}})
		jobs := []flow.Job{newJob("r1", spelling), newJob("r2", spelling), newJob("r3", spelling)}
		errs := serveAll(t, h, jobs)
		assert.NilError(t, errs[1])
		assert.Equal(t, reasonOf(errs[2]), value.ReasonOverloaded)
		_, err := h.flow.Serve(t.Context(), newJob("r4", spelling), &recordingWriter{})
		assert.NilError(t, err, "ended requests must not count")
	})
}

func TestDraftsYieldToInteractiveRequestsWithoutStarving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(spelling, menu), map[value.ServerID][]script{"s1": {{headDelay: 100 * time.Millisecond, pieces: []string{"x"}}}})
		jobs := []flow.Job{newJob("first", spelling)}
		for i := range 20 {
			jobs = append(jobs, newJob(fmt.Sprint("draft", i), menu))
		}
		for i := range 20 {
			jobs = append(jobs, newJob(fmt.Sprint("short", i), spelling))
		}
		for _, err := range serveAll(t, h, jobs) {
			assert.NilError(t, err)
		}
		position := make(map[value.RequestID]int)
		for i, b := range h.bills {
			position[b.Request] = i
		}
		assert.Assert(t, position["short19"] < position["draft10"], "later interactive requests go before most drafts")
		assert.Assert(t, position["draft0"] < position["short19"], "drafts must not starve")
	})
}
