package bills_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/fakes"
)

func keep(t *testing.T, b biller, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		assert.NilError(t, b.Keep(t.Context(), bill(i)))
	}
}

func TestABillOutlivesItsInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a := r.biller("a")
		r.biller("b")
		r.biller("c")
		keep(t, a, 0, 100)
		assert.Equal(t, a.Unsafe(), 0)
		r.kill(a, "a")
		assert.Equal(t, len(r.audit(100).Missing), 100, "nothing was flushed yet")
		time.Sleep(3 * flushTime)
		got := r.audit(100)
		assert.Assert(t, got.Clean(), "%+v", got)
	})
}

func TestAnOutageLongerThanTheMemoryOfInstancesLosesNoBill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a := r.biller("a")
		r.biller("b")
		keep(t, a, 0, 10)
		r.setFaults(fakes.Faults{}.WithDown(true))
		r.kill(a, "a")
		time.Sleep(3 * flushTime)
		r.mu.Lock()
		delete(r.gone, "a")
		r.mu.Unlock()
		time.Sleep(10 * time.Minute)
		r.setFaults(fakes.Faults{})
		time.Sleep(2 * flushTime)
		got := r.audit(10)
		assert.Assert(t, got.Clean(), "%+v", got)
	})
}

func TestOwnerAndHoldersFlushAtOnce(t *testing.T) {
	for name, f := range map[string]fakes.Faults{
		"healthy":           {},
		"answers lost":      fakes.Faults{}.WithLostAnswers(5),
		"slow":              fakes.Faults{}.WithDelay(700 * time.Millisecond),
		"slower than calls": fakes.Faults{}.WithDelay(1500 * time.Millisecond),
		"stale":             fakes.Faults{}.WithStale(true),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				a := r.biller("a")
				r.biller("b")
				r.biller("c")
				keep(t, a, 0, 60)
				r.setFaults(f)
				// The others take a live instance for gone, while it goes on.
				r.mu.Lock()
				r.gone["a"] = true
				r.mu.Unlock()
				for i := 60; i < 200; i++ {
					assert.NilError(t, a.Keep(t.Context(), bill(i)))
					time.Sleep(100 * time.Millisecond)
				}
				r.setFaults(fakes.Faults{})
				time.Sleep(3 * flushTime)
				assert.NilError(t, a.Flush(t.Context()))
				got := r.audit(200)
				assert.Assert(t, got.Clean(), "missing %d, doubled %d, unknown %d", len(got.Missing), len(got.Duplicated), len(got.Unknown))
				assert.Equal(t, len(got.Charges), 200)
			})
		})
	}
}

func TestWithTheStoreDownHoldersKeepTheBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a := r.biller("a")
		r.biller("b")
		r.setFaults(fakes.Faults{}.WithDown(true))
		for i := range 100 {
			keep(t, a, i, i+1)
			time.Sleep(500 * time.Millisecond)
		}
		r.setFaults(fakes.Faults{})
		time.Sleep(2 * flushTime)
		got := r.audit(100)
		assert.Assert(t, got.Clean(), "%+v", got)
	})
}

func TestWithoutHoldersTheStoreKeepsTheBills(t *testing.T) {
	for name, f := range map[string]fakes.Faults{
		"healthy":      {},
		"answers lost": fakes.Faults{}.WithLostAnswers(3),
		"slow":         fakes.Faults{}.WithDelay(700 * time.Millisecond),
		"stale":        fakes.Faults{}.WithStale(true),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				a := r.biller("a")
				r.biller("b")
				r.cut(true)
				r.setFaults(f)
				keep(t, a, 0, 5)
				r.setFaults(fakes.Faults{})
				got := r.audit(5)
				assert.Assert(t, got.Clean(), "%+v", got)
			})
		})
	}
}

func TestWithNeitherNothingIsTakenForKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.adjust = func(c *bills.Config) { c.Backlog = 3 }
		a := r.biller("a")
		r.biller("b")
		r.cut(true)
		r.setFaults(fakes.Faults{}.WithDown(true))
		for i := range 3 {
			assert.Assert(t, a.Ready())
			err := a.Keep(t.Context(), bill(i))
			var refusal value.Refusal
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Reason, value.ReasonBillNotStored)
			assert.Assert(t, !refusal.NotRun)
		}
		assert.Assert(t, !a.Ready(), "the backlog is bounded")
		assert.ErrorContains(t, a.Keep(t.Context(), bill(3)), "too many bills")
		assert.Equal(t, a.Unsafe(), 3)
		r.cut(false)
		r.setFaults(fakes.Faults{})
		time.Sleep(2 * flushTime)
		assert.Equal(t, a.Unsafe(), 0)
		assert.Assert(t, a.Ready())
		got := r.audit(3)
		assert.Assert(t, got.Clean(), "%+v", got)
	})
}

func TestARequestIsChargedOnceHoweverOftenItsBillIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a, b := r.biller("a"), r.biller("b")
		keep(t, a, 0, 2)
		keep(t, a, 0, 2)
		assert.NilError(t, a.Flush(t.Context()))
		keep(t, a, 0, 1)
		late := bill(1).WithCost(999)
		late.At = late.At.Add(time.Minute)
		assert.NilError(t, b.Keep(t.Context(), late))
		time.Sleep(2 * flushTime)
		got := r.audit(2)
		assert.Equal(t, len(got.Charges), 2)
		assert.Equal(t, got.Charges[1].CostMicros, bill(1).CostMicros, "the earlier bill counts")
		assert.DeepEqual(t, got.Duplicated, []value.RequestID{bill(1).Request})
		assert.Equal(t, len(got.Missing)+len(got.Unknown), 0)
	})
}

func TestAPausedOwnerComesBackToAChainThatWentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a := r.biller("a")
		r.biller("b")
		keep(t, a, 0, 20)
		a.port.Pause()
		r.mu.Lock()
		r.gone["a"] = true
		r.mu.Unlock()
		time.Sleep(3 * flushTime)
		a.port.Resume()
		keep(t, a, 20, 40)
		time.Sleep(3 * flushTime)
		got := r.audit(40)
		assert.Assert(t, got.Clean(), "%+v", got)
	})
}

func TestAHolderThatWasCutOffGetsOnlyWhatItLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.adjust = func(c *bills.Config) { c.Flush = never }
		a := r.biller("a")
		r.biller("b")
		r.biller("c")
		keep(t, a, 0, 400)
		// Keep waits for one holder only; the other one has its copy a little later.
		synctest.Wait()
		toB := func(_, to value.Instance) fakes.Fate { return fakes.Fate{Unsent: to.ID == "b"} }
		r.mesh.Set(toB)
		keep(t, a, 400, 420)
		before := a.port.Sent()
		r.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{} })
		time.Sleep(5 * time.Second)
		keep(t, a, 420, 421)
		synctest.Wait()
		partial := a.port.Sent().Bytes - before.Bytes
		whole := before.Bytes / 2
		assert.Assert(t, partial*4 < whole, "%d bytes to catch up of about %d", partial, whole)
	})
}
