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

// crowd serves jobs at the same time and collects their errors in order.
func crowd(t *testing.T, g *rig, jobs []flow.Job) []error {
	t.Helper()
	errs := make([]error, len(jobs))
	var all sync.WaitGroup
	for i, j := range jobs {
		all.Go(func() { _, errs[i] = g.flow.Serve(t.Context(), j, &seen{}) })
		synctest.Wait()
	}
	all.Wait()
	return errs
}

func TestNoWaiterIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(menu), map[value.ServerID][]act{"s1": {good}})
		errs := make([]error, 60)
		var all sync.WaitGroup
		for i := range errs {
			// No two steps wait for each other, so that waits and ends fall together.
			all.Go(func() { _, errs[i] = g.flow.Serve(t.Context(), job(fmt.Sprint(i), menu), &seen{}) })
		}
		all.Wait()
		served := 0
		for _, err := range errs {
			if err == nil {
				served++
				continue
			}
			assert.Equal(t, reasonOf(err), value.ReasonQueueFull)
		}
		assert.Assert(t, served >= 50, "%d served", served)
		assert.Equal(t, g.inFlight(), 0)
	})
}

func TestCallerThatLeavesTheQueueHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(spelling), map[value.ServerID][]act{"s1": {{head: 5 * time.Second, pieces: []string{"x"}}}})
		var all sync.WaitGroup
		all.Go(func() { _, _ = g.flow.Serve(t.Context(), job("r1", spelling), &seen{}) })
		synctest.Wait()
		ctx, leave := context.WithCancel(t.Context())
		var left, stayed error
		all.Go(func() { _, left = g.flow.Serve(ctx, job("r2", spelling), &seen{}) })
		synctest.Wait()
		all.Go(func() { _, stayed = g.flow.Serve(t.Context(), job("r3", spelling), &seen{}) })
		synctest.Wait()
		assert.Equal(t, g.flow.Waiting(), 2)
		leave()
		all.Wait()
		assert.Equal(t, reasonOf(left), value.ReasonCanceled)
		assert.Assert(t, notRun(left))
		assert.NilError(t, stayed)
		assert.Equal(t, g.runs["s1"], 2)
	})
}

func TestWaitersLearnThatTheirServersHaveGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(spelling), map[value.ServerID][]act{"s1": {{head: 50 * time.Second}}})
		changed := make(chan struct{})
		ctx, stop := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() {
			g.flow.Follow(ctx, func() (state.State, <-chan struct{}) { return g.snapshot(), changed })
		})
		all.Go(func() { _, _ = g.flow.Serve(t.Context(), job("r1", spelling), &seen{}) })
		synctest.Wait()
		var err error
		began := time.Now()
		all.Go(func() {
			_, err = g.flow.Serve(t.Context(), job("r2", spelling), &seen{})
			assert.Equal(t, time.Since(began), time.Second)
		})
		time.Sleep(time.Second)
		was := changed
		g.locked(func() { g.control = g.control.WithoutServer("s1") })
		changed = make(chan struct{})
		close(was)
		synctest.Wait()
		stop()
		all.Wait()
		assert.Equal(t, reasonOf(err), value.ReasonNoServer)
		assert.Assert(t, notRun(err))
	})
}

func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(spelling), map[value.ServerID][]act{"s1": {{head: time.Second, pieces: []string{"x"}}}})
		for range 25 {
			_, err := g.flow.Serve(t.Context(), job("r", spelling), &seen{})
			assert.NilError(t, err)
		}
		jobs := make([]flow.Job, 10)
		for i := range jobs {
			jobs[i] = job(fmt.Sprint(i), spelling)
			jobs[i].Request.Deadline = time.Now().Add(3500 * time.Millisecond)
		}
		refused := 0
		for _, err := range crowd(t, g, jobs) {
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

func TestFloodOfOneAccountLeavesTheOtherItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(spelling), map[value.ServerID][]act{"s1": {{head: 100 * time.Millisecond, pieces: []string{"x"}}}})
		var jobs []flow.Job
		for i := range 200 {
			jobs = append(jobs, job(fmt.Sprint("flood", i), spelling))
		}
		for i := range 20 {
			j := job(fmt.Sprint("own", i), spelling)
			j.Request = j.Request.WithAccount("ward-9")
			jobs = append(jobs, j)
		}
		errs := crowd(t, g, jobs)
		assert.Assert(t, reasonOf(errs[150]) != "", "the flood must be refused in part")
		var last time.Time
		for _, b := range g.bills {
			if b.Account == "ward-9" {
				last = b.At
			}
		}
		for i := range 20 {
			assert.NilError(t, errs[200+i], "the other account is inside its share")
		}
		// One of two places in turn, and the run that was under way.
		assert.Assert(t, last.Sub(g.bills[0].At) <= 41*100*time.Millisecond, "served by %s", last.Sub(g.bills[0].At))
	})
}

func TestAccountKeepsItsBoundOnConcurrentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := ward(spelling)
		d.ClientAccounts[0].MaxInFlight = 2
		g := newRig(t, d, map[value.ServerID][]act{"s1": {{head: time.Second, pieces: []string{"x"}}}})
		jobs := []flow.Job{job("r1", spelling), job("r2", spelling), job("r3", spelling)}
		errs := crowd(t, g, jobs)
		assert.NilError(t, errs[1])
		assert.Equal(t, reasonOf(errs[2]), value.ReasonOverloaded)
		_, err := g.flow.Serve(t.Context(), job("r4", spelling), &seen{})
		assert.NilError(t, err, "ended requests must be counted off")
	})
}

func TestDraftsWaitBehindButAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(spelling, menu), map[value.ServerID][]act{"s1": {{head: 100 * time.Millisecond, pieces: []string{"x"}}}})
		jobs := []flow.Job{job("first", spelling)}
		for i := range 20 {
			jobs = append(jobs, job(fmt.Sprint("draft", i), menu))
		}
		for i := range 20 {
			jobs = append(jobs, job(fmt.Sprint("short", i), spelling))
		}
		for _, err := range crowd(t, g, jobs) {
			assert.NilError(t, err)
		}
		place := make(map[value.RequestID]int)
		for i, b := range g.bills {
			place[b.Request] = i
		}
		assert.Assert(t, place["short19"] < place["draft10"], "later interactive work goes before most drafts")
		assert.Assert(t, place["draft0"] < place["short19"], "drafts must not starve")
	})
}
