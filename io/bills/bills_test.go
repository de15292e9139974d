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

// storeBills stores the bills numbered from, from+1 and so on up to to-1, and fails the test if one
// is refused.
func storeBills(t *testing.T, b biller, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		assert.NilError(t, b.StoreBill(t.Context(), bill(i)))
	}
}

func TestHoldersStoreBillsOfLostInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		a := harness.biller("a")
		harness.biller("b")
		harness.biller("c")
		storeBills(t, a, 0, 100)
		assert.Equal(t, a.UnsafeCount(), 0)
		harness.kill(a, "a")
		assert.Equal(t, len(harness.audit(100).Missing), 100, "nothing has been flushed yet")
		time.Sleep(3 * flushInterval)
		got := harness.audit(100)
		assert.Assert(t, got.IsClean(), "%+v", got)
	})
}

// Guards against a holder that drops a departed owner's tail because the membership list has
// removed the owner before the store is reachable again.
func TestHeldTailSurvivesStoreOutageLongerThanMembershipRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		a := harness.biller("a")
		harness.biller("b")
		storeBills(t, a, 0, 10)
		harness.setFaults(fakes.StoreFaults{}.WithDown(true))
		harness.kill(a, "a")
		time.Sleep(3 * flushInterval)
		harness.mu.Lock()
		delete(harness.departed, "a")
		harness.mu.Unlock()
		time.Sleep(10 * time.Minute)
		harness.setFaults(fakes.StoreFaults{})
		time.Sleep(2 * flushInterval)
		got := harness.audit(10)
		assert.Assert(t, got.IsClean(), "%+v", got)
	})
}

func TestConcurrentFlushByOwnerAndHoldersStoresEachBillOnce(t *testing.T) {
	for name, f := range map[string]fakes.StoreFaults{
		"store healthy":                  {},
		"answers of the store lost":      fakes.StoreFaults{}.WithLostAnswers(5),
		"store slow":                     fakes.StoreFaults{}.WithDelay(700 * time.Millisecond),
		"store slower than call timeout": fakes.StoreFaults{}.WithDelay(1500 * time.Millisecond),
		"reads of the store stale":       fakes.StoreFaults{}.WithStale(true),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				harness := newHarness(t)
				a := harness.biller("a")
				harness.biller("b")
				harness.biller("c")
				storeBills(t, a, 0, 60)
				harness.setFaults(f)
				// The other instances assume that a has departed, while it continues to run.
				harness.mu.Lock()
				harness.departed["a"] = true
				harness.mu.Unlock()
				for i := 60; i < 200; i++ {
					assert.NilError(t, a.StoreBill(t.Context(), bill(i)))
					time.Sleep(100 * time.Millisecond)
				}
				harness.setFaults(fakes.StoreFaults{})
				time.Sleep(3 * flushInterval)
				assert.NilError(t, a.Flush(t.Context()))
				got := harness.audit(200)
				assert.Assert(t, got.IsClean(), "missing %d, duplicated %d, unknown %d", len(got.Missing), len(got.Duplicated), len(got.Unknown))
				assert.Equal(t, len(got.Charges), 200)
			})
		})
	}
}

func TestKeepSucceedsThroughHoldersWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		a := harness.biller("a")
		harness.biller("b")
		harness.setFaults(fakes.StoreFaults{}.WithDown(true))
		for i := range 100 {
			storeBills(t, a, i, i+1)
			time.Sleep(500 * time.Millisecond)
		}
		harness.setFaults(fakes.StoreFaults{})
		time.Sleep(2 * flushInterval)
		got := harness.audit(100)
		assert.Assert(t, got.IsClean(), "%+v", got)
	})
}

func TestKeepSucceedsThroughStoreWhileHoldersAreUnreachable(t *testing.T) {
	for name, f := range map[string]fakes.StoreFaults{
		"store healthy":             {},
		"answers of the store lost": fakes.StoreFaults{}.WithLostAnswers(3),
		"store slow":                fakes.StoreFaults{}.WithDelay(700 * time.Millisecond),
		"reads of the store stale":  fakes.StoreFaults{}.WithStale(true),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				harness := newHarness(t)
				a := harness.biller("a")
				harness.biller("b")
				harness.setPartitioned(true)
				harness.setFaults(f)
				storeBills(t, a, 0, 5)
				harness.setFaults(fakes.StoreFaults{})
				got := harness.audit(5)
				assert.Assert(t, got.IsClean(), "%+v", got)
			})
		})
	}
}

func TestKeepFailsWhileStoreAndHoldersAreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		harness.adjust = func(c *bills.Config) { c.MaxBacklog = 3 }
		a := harness.biller("a")
		harness.biller("b")
		harness.setPartitioned(true)
		harness.setFaults(fakes.StoreFaults{}.WithDown(true))
		for i := range 3 {
			assert.Assert(t, a.HasCapacity())
			err := a.StoreBill(t.Context(), bill(i))
			var refusal value.Refusal
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Reason, value.ReasonBillNotStored)
			assert.Assert(t, !refusal.NotRun)
		}
		assert.Assert(t, !a.HasCapacity(), "the backlog is bounded")
		assert.ErrorContains(t, a.StoreBill(t.Context(), bill(3)), "too many bills")
		assert.Equal(t, a.UnsafeCount(), 3)
		harness.setPartitioned(false)
		harness.setFaults(fakes.StoreFaults{})
		time.Sleep(2 * flushInterval)
		assert.Equal(t, a.UnsafeCount(), 0)
		assert.Assert(t, a.HasCapacity())
		got := harness.audit(3)
		assert.Assert(t, got.IsClean(), "%+v", got)
	})
}

func TestRequestBilledRepeatedlyIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		a, b := harness.biller("a"), harness.biller("b")
		storeBills(t, a, 0, 2)
		storeBills(t, a, 0, 2)
		assert.NilError(t, a.Flush(t.Context()))
		storeBills(t, a, 0, 1)
		late := bill(1).WithCost(999)
		late.At = late.At.Add(time.Minute)
		assert.NilError(t, b.StoreBill(t.Context(), late))
		time.Sleep(2 * flushInterval)
		got := harness.audit(2)
		assert.Equal(t, len(got.Charges), 2)
		assert.Equal(t, got.Charges[1].CostMicros, bill(1).CostMicros, "the earlier bill counts")
		assert.DeepEqual(t, got.Duplicated, []value.RequestID{bill(1).Request})
		assert.Equal(t, len(got.Missing)+len(got.Unknown), 0)
	})
}

func TestPausedOwnerContinuesChainThatHolderExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		a := harness.biller("a")
		harness.biller("b")
		storeBills(t, a, 0, 20)
		a.port.Pause()
		harness.mu.Lock()
		harness.departed["a"] = true
		harness.mu.Unlock()
		time.Sleep(3 * flushInterval)
		a.port.Resume()
		storeBills(t, a, 20, 40)
		time.Sleep(3 * flushInterval)
		got := harness.audit(40)
		assert.Assert(t, got.IsClean(), "%+v", got)
	})
}

func TestReconnectedHolderReceivesOnlyMissingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		harness.adjust = func(c *bills.Config) { c.FlushInterval = noFlush }
		a := harness.biller("a")
		harness.biller("b")
		harness.biller("c")
		storeBills(t, a, 0, 400)
		// Store waits for one holder only; the other receives its copy a little later.
		synctest.Wait()
		dropToB := func(_, to value.Instance) fakes.Delivery { return fakes.Delivery{Unsent: to.ID == "b"} }
		harness.mesh.SetDelivery(dropToB)
		storeBills(t, a, 400, 420)
		before := a.port.Sent()
		harness.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{} })
		time.Sleep(5 * time.Second)
		storeBills(t, a, 420, 421)
		synctest.Wait()
		partial := a.port.Sent().Bytes - before.Bytes
		full := before.Bytes / 2
		assert.Assert(t, partial*4 < full, "sent %d bytes to catch up; a full copy takes about %d", partial, full)
	})
}

// A holder may leave before it learns that the owner of its copies was lost, and its copies may be the
// last ones.
func TestLeavingHolderWritesTheCopiesThatItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		a := harness.biller("a")
		b := harness.biller("b")
		c := harness.biller("c")
		storeBills(t, a, 0, 100)
		harness.mesh.Remove("a")
		a.stop()
		for _, holder := range []biller{b, c} {
			assert.NilError(t, holder.HandOver(t.Context()))
			holder.stop()
		}
		got := harness.audit(100)
		assert.Assert(t, got.IsClean(), "%+v", got)
	})
}

// A holder that leaves can't tell a lost owner from one that goes on; that one must lose nothing either.
func TestOwnerContinuesAfterAHolderHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		a := harness.biller("a")
		b := harness.biller("b")
		storeBills(t, a, 0, 50)
		assert.NilError(t, b.HandOver(t.Context()))
		b.stop()
		storeBills(t, a, 50, 100)
		assert.NilError(t, a.Flush(t.Context()))
		got := harness.audit(100)
		assert.Assert(t, got.IsClean(), "%+v", got)
	})
}

// A process may start under the identifier of an earlier one, whose segments are in the store and whose
// last bills are at its holders.
func TestReusedIdentifierDoesNotTakeTheEarlierProcessesBillsForItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t)
		first := harness.biller("a")
		harness.biller("b")
		storeBills(t, first, 0, 50)
		assert.NilError(t, first.Flush(t.Context()))
		storeBills(t, first, 50, 80)
		harness.mesh.Remove("a")
		first.stop()
		time.Sleep(time.Second)
		second := harness.biller("a")
		storeBills(t, second, 80, 160)
		assert.NilError(t, second.Flush(t.Context()))
		time.Sleep(3 * flushInterval)
		got := harness.audit(160)
		assert.Assert(t, got.IsClean(), "%+v", got)
	})
}
