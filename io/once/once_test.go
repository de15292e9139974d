package once_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/fakes"
	"endivehitch/io/flow"
	"endivehitch/io/once"
)

// claimRefused claims the request and returns the refusal that it must get.
func claimRefused(t *testing.T, g *once.Guard, r value.Request) value.Refusal {
	t.Helper()
	c, stored, err := g.Claim(t.Context(), r)
	var refusal value.Refusal
	assert.Assert(t, errors.As(err, &refusal), "claim %v, stored %v, error %v", c, stored, err)
	return refusal
}

// claimGranted claims the request, which must be granted.
func claimGranted(t *testing.T, g *once.Guard, r value.Request) flow.Claim {
	t.Helper()
	c, _, err := g.Claim(t.Context(), r)
	assert.NilError(t, err)
	assert.Assert(t, c != nil)
	return c
}

func TestRetryAtAnotherInstanceReturnsStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a, b := h.guard("a"), h.guard("b")
		c := claimGranted(t, a, request("k"))
		running := claimRefused(t, b, request("k"))
		assert.Equal(t, running.Reason, value.ReasonStillRunning)
		assert.Assert(t, !running.NotRun)
		assert.NilError(t, c.Finish(t.Context(), storedAnswer("order 7")))
		_, stored, err := b.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.DeepEqual(t, *stored, storedAnswer("order 7"))
		other := request("k")
		other.RequestHash = 8
		assert.Equal(t, claimRefused(t, b, other).Reason, value.ReasonKeyReused)
	})
}

// Guards against a verdict from the journal that the instance wrote last, which another instance
// has changed since.
func TestStaleCachedJournalIsRereadBeforeVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.configure = func(c *once.Config) { c.Slots = 1 }
		a, b := h.guard("a"), h.guard("b")
		c := claimGranted(t, b, request("k"))
		claimGranted(t, a, request("so that a keeps the journal at hand"))
		assert.NilError(t, c.Finish(t.Context(), storedAnswer("by b")))
		_, stored, err := a.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "by b")
	})
}

func TestKeyOfArbitraryBytesIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		claimGranted(t, h.guard("a"), request("\xff\x00<\""))
		assert.Equal(t, claimRefused(t, h.guard("b"), request("\xff\x00<\"")).Reason, value.ReasonStillRunning)
	})
}

func TestConcurrentClaimsAtManyInstancesGrantOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, owner := range []value.InstanceID{"", "i0", "away"} {
			h := newHarness(t)
			h.setOwner(owner)
			h.setFaults(fakes.StoreFaults{}.WithDelay(20 * time.Millisecond))
			var runs atomic.Int64
			var group sync.WaitGroup
			for i := range 7 {
				g := h.guard(value.InstanceID(fmt.Sprint("i", i)))
				group.Go(func() {
					c, _, _ := g.Claim(t.Context(), request("k"))
					if c != nil {
						runs.Add(1)
					}
				})
			}
			group.Wait()
			assert.Equal(t, runs.Load(), int64(1), "owner %q", owner)
		}
	})
}

func TestClaimSurvivesLostWriteResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a, b := h.guard("a"), h.guard("b")
		h.setFaults(fakes.StoreFaults{}.WithLostAnswers(1))
		c := claimGranted(t, a, request("k"))
		h.setFaults(fakes.StoreFaults{}.WithLostAnswers(1).WithStale(true))
		assert.NilError(t, c.Finish(t.Context(), storedAnswer("once")))
		h.setFaults(fakes.StoreFaults{})
		_, stored, err := b.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "once")
	})
}

func TestStaleReadGrantsNoSecondClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a, b := h.guard("a"), h.guard("b")
		h.setFaults(fakes.StoreFaults{}.WithStale(true))
		c := claimGranted(t, a, request("k"))
		assert.Equal(t, claimRefused(t, b, request("k")).Reason, value.ReasonStillRunning)
		assert.NilError(t, c.Finish(t.Context(), storedAnswer("once")))
		// Instance b observes the end of the run only once reads are no longer stale.
		assert.Equal(t, claimRefused(t, b, request("k")).Reason, value.ReasonStillRunning)
		h.setFaults(fakes.StoreFaults{})
		_, stored, err := b.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "once")
	})
}

// Guards against a claim whose write takes effect only after its caller has timed out: it must not
// keep the key from the next caller.
func TestClaimWrittenAfterCallerTimeoutLeavesKeyFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.configure = func(c *once.Config) { c.Slots = 1 }
		a, b := h.guard("a"), h.guard("b")
		claimGranted(t, a, request("warm-up, so that the journal needs no reading"))
		h.setFaults(fakes.StoreFaults{}.WithDelay(3 * time.Second))
		short := request("k")
		short.Deadline = time.Now().Add(2 * time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), short.Deadline)
		defer cancel()
		_, _, err := a.Claim(ctx, short)
		var refusal value.Refusal
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Reason, value.ReasonJournalDown)
		assert.Assert(t, refusal.NotRun)
		h.setFaults(fakes.StoreFaults{})
		time.Sleep(5 * time.Second)
		c := claimGranted(t, b, request("k"))
		assert.NilError(t, c.Finish(t.Context(), storedAnswer("b ran it")))
		_, stored, err := a.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "b ran it")
	})
}

func TestStoreOutageRefusesClaimsAndDelaysRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.guard("a")
		c := claimGranted(t, a, request("before"))
		h.setFaults(fakes.StoreFaults{}.WithDown(true))
		refusal := claimRefused(t, a, request("during"))
		assert.Equal(t, refusal.Reason, value.ReasonJournalDown)
		assert.Assert(t, refusal.NotRun && refusal.RetryAfter > 0)
		// The run that began before the outage succeeds; its record is written once the store is back.
		assert.NilError(t, c.Finish(t.Context(), storedAnswer("whole")))
		assert.Equal(t, a.Unsettled(), 1)
		h.setFaults(fakes.StoreFaults{})
		assert.NilError(t, a.Drain(t.Context()))
		_, stored, err := h.guard("b").Claim(t.Context(), request("before"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "whole")
		claimGranted(t, a, request("during"))
	})
}

func TestDepartedHolderLeavesOutcomeUnknown(t *testing.T) {
	for _, dispatched := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			a, b := h.guard("a"), h.guard("b")
			late := claimGranted(t, a, request("k"))
			if dispatched {
				h.setFaults(fakes.StoreFaults{}.WithDown(true))
				assert.NilError(t, late.Finish(t.Context(), storedAnswer("unrecorded")))
				a.Close()
				h.setFaults(fakes.StoreFaults{})
			}
			h.departed.Update(func(value.InstanceID) value.InstanceID { return "a" })
			assert.Equal(t, claimRefused(t, b, request("k")).Reason, value.ReasonStillRunning)
			time.Sleep(12 * time.Second)
			unknown := claimRefused(t, b, request("k"))
			assert.Equal(t, unknown.Reason, value.ReasonOutcomeUnknown)
			assert.Assert(t, !unknown.NotRun)
			time.Sleep(30 * time.Minute)
			assert.Equal(t, claimRefused(t, b, request("k")).Reason, value.ReasonOutcomeUnknown, "the key must not become free again")
			if !dispatched {
				// A holder that was only paused can still record the answer of its run.
				assert.NilError(t, late.Finish(t.Context(), storedAnswer("late")))
				_, stored, err := b.Claim(t.Context(), request("k"))
				assert.NilError(t, err)
				assert.Equal(t, string(stored.Body), "late")
			}
		})
	}
}

// Guards against double grants while ownership moves: the old owner goes on deciding on the journal
// that it wrote last.
func TestOwnerChangeGrantsEachCallOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setOwner("old")
		old, next := h.guard("old"), h.guard("next")
		claimGranted(t, old, request("warm-up, so that the old owner keeps the journal at hand"))
		var group sync.WaitGroup
		var runs atomic.Int64
		for i := range 40 {
			key := request(fmt.Sprint(i))
			for _, g := range []*once.Guard{old, next} {
				group.Go(func() {
					c, _, err := g.Claim(t.Context(), key)
					if c != nil {
						runs.Add(1)
					} else if err == nil {
						t.Error("neither a claim nor a refusal")
					}
				})
			}
			if i == 20 {
				h.setOwner("next")
				h.disconnectAll()
			}
		}
		group.Wait()
		assert.Equal(t, runs.Load(), int64(40))
	})
}

// Guards against a second grant if the owner records a forwarded claim but its reply is lost, so
// that the sender decides the claim again.
func TestLostOwnerReplyGrantsNoSecondClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setOwner("owner")
		owner, a, b := h.guard("owner"), h.guard("a"), h.guard("b")
		h.loseReplies(true)
		c := claimGranted(t, a, request("k"))
		assert.Equal(t, claimRefused(t, b, request("k")).Reason, value.ReasonStillRunning)
		h.loseReplies(false)
		assert.NilError(t, c.Finish(t.Context(), storedAnswer("one")))
		_, stored, err := owner.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "one")
	})
}

func TestReleasedClaimIsFreeAndClaimInDoubtIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setOwner("owner")
		h.guard("owner")
		a, b := h.guard("a"), h.guard("b")
		assert.NilError(t, claimGranted(t, a, request("k")).Release(t.Context()))
		c := claimGranted(t, b, request("k"))
		assert.NilError(t, c.MarkInDoubt(t.Context()))
		assert.Equal(t, claimRefused(t, a, request("k")).Reason, value.ReasonOutcomeUnknown)
	})
}
