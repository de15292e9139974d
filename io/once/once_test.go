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

func refused(t *testing.T, g *once.Guard, r value.Request) value.Refusal {
	t.Helper()
	c, stored, err := g.Claim(t.Context(), r)
	var refusal value.Refusal
	assert.Assert(t, errors.As(err, &refusal), "claim %v, stored %v, error %v", c, stored, err)
	return refusal
}

func granted(t *testing.T, g *once.Guard, r value.Request) flow.Claim {
	t.Helper()
	c, _, err := g.Claim(t.Context(), r)
	assert.NilError(t, err)
	assert.Assert(t, c != nil)
	return c
}

func TestSecondTryAtAnotherInstanceGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a, b := r.guard("a"), r.guard("b")
		c := granted(t, a, request("k"))
		running := refused(t, b, request("k"))
		assert.Equal(t, running.Reason, value.ReasonStillRunning)
		assert.Assert(t, !running.NotRun)
		assert.NilError(t, c.Finish(t.Context(), done("order 7")))
		_, stored, err := b.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.DeepEqual(t, *stored, done("order 7"))
		other := request("k")
		other.Question = 8
		assert.Equal(t, refused(t, b, other).Reason, value.ReasonKeyReused)
	})
}

func TestAnOldPictureOfTheJournalIsNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.adjust = func(c *once.Config) { c.Slots = 1 }
		a, b := r.guard("a"), r.guard("b")
		c := granted(t, b, request("k"))
		granted(t, a, request("so that a keeps the journal at hand"))
		assert.NilError(t, c.Finish(t.Context(), done("by b")))
		_, stored, err := a.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "by b")
	})
}

func TestAKeyOfAnyBytesIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		granted(t, r.guard("a"), request("\xff\x00<\""))
		assert.Equal(t, refused(t, r.guard("b"), request("\xff\x00<\"")).Reason, value.ReasonStillRunning)
	})
}

func TestOneOfManyInstancesAtOnceRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, owner := range []value.InstanceID{"", "i0", "away"} {
			r := newRig(t)
			r.own(owner)
			r.setFaults(fakes.Faults{}.WithDelay(20 * time.Millisecond))
			var runs atomic.Int64
			var group sync.WaitGroup
			for i := range 7 {
				g := r.guard(value.InstanceID(fmt.Sprint("i", i)))
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

func TestLostAnswersOfWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a, b := r.guard("a"), r.guard("b")
		r.setFaults(fakes.Faults{}.WithLostAnswers(1))
		c := granted(t, a, request("k"))
		r.setFaults(fakes.Faults{}.WithLostAnswers(1).WithStale(true))
		assert.NilError(t, c.Finish(t.Context(), done("once")))
		r.setFaults(fakes.Faults{})
		_, stored, err := b.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "once")
	})
}

func TestAStaleReadGrantsNoSecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a, b := r.guard("a"), r.guard("b")
		r.setFaults(fakes.Faults{}.WithStale(true))
		c := granted(t, a, request("k"))
		assert.Equal(t, refused(t, b, request("k")).Reason, value.ReasonStillRunning)
		assert.NilError(t, c.Finish(t.Context(), done("once")))
		// Of the end of the run b hears only once reads are fresh again.
		assert.Equal(t, refused(t, b, request("k")).Reason, value.ReasonStillRunning)
		r.setFaults(fakes.Faults{})
		_, stored, err := b.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "once")
	})
}

func TestAWriteThatLandsAfterItsCallerGaveUpNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.adjust = func(c *once.Config) { c.Slots = 1 }
		a, b := r.guard("a"), r.guard("b")
		granted(t, a, request("warm-up, so that the journal needs no reading"))
		r.setFaults(fakes.Faults{}.WithDelay(3 * time.Second))
		hasty := request("k")
		hasty.Deadline = time.Now().Add(2 * time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), hasty.Deadline)
		defer cancel()
		_, _, err := a.Claim(ctx, hasty)
		var refusal value.Refusal
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Reason, value.ReasonJournalDown)
		assert.Assert(t, refusal.NotRun)
		r.setFaults(fakes.Faults{})
		time.Sleep(5 * time.Second)
		c := granted(t, b, request("k"))
		assert.NilError(t, c.Finish(t.Context(), done("b ran it")))
		_, stored, err := a.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "b ran it")
	})
}

func TestWithTheServiceDownNothingIsDispatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a := r.guard("a")
		c := granted(t, a, request("before"))
		r.setFaults(fakes.Faults{}.WithDown(true))
		refusal := refused(t, a, request("during"))
		assert.Equal(t, refusal.Reason, value.ReasonJournalDown)
		assert.Assert(t, refusal.NotRun && refusal.RetryAfter > 0)
		// The run that began before is whole; its record follows once the service is back.
		assert.NilError(t, c.Finish(t.Context(), done("whole")))
		assert.Equal(t, a.Unsettled(), 1)
		r.setFaults(fakes.Faults{})
		assert.NilError(t, a.Drain(t.Context()))
		_, stored, err := r.guard("b").Claim(t.Context(), request("before"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "whole")
		granted(t, a, request("during"))
	})
}

func TestAnInstanceThatIsGoneLeavesAnUnknownOutcome(t *testing.T) {
	for _, dispatched := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			a, b := r.guard("a"), r.guard("b")
			late := granted(t, a, request("k"))
			if dispatched {
				r.setFaults(fakes.Faults{}.WithDown(true))
				assert.NilError(t, late.Finish(t.Context(), done("unrecorded")))
				a.Close()
				r.setFaults(fakes.Faults{})
			}
			r.gone.Update(func(value.InstanceID) value.InstanceID { return "a" })
			assert.Equal(t, refused(t, b, request("k")).Reason, value.ReasonStillRunning)
			time.Sleep(12 * time.Second)
			unknown := refused(t, b, request("k"))
			assert.Equal(t, unknown.Reason, value.ReasonOutcomeUnknown)
			assert.Assert(t, !unknown.NotRun)
			time.Sleep(30 * time.Minute)
			assert.Equal(t, refused(t, b, request("k")).Reason, value.ReasonOutcomeUnknown, "it became free")
			if !dispatched {
				// A paused holder that wakes up and ends its run tells the truth after all.
				assert.NilError(t, late.Finish(t.Context(), done("late")))
				_, stored, err := b.Claim(t.Context(), request("k"))
				assert.NilError(t, err)
				assert.Equal(t, string(stored.Body), "late")
			}
		})
	}
}

func TestADeposedOwnersWriteIsDecidedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.own("old")
		old, next := r.guard("old"), r.guard("next")
		granted(t, old, request("warm-up, so that the old owner keeps the journal at hand"))
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
						t.Error("no claim and no refusal")
					}
				})
			}
			if i == 20 {
				r.own("next")
				r.cut()
			}
		}
		group.Wait()
		assert.Equal(t, runs.Load(), int64(40))
	})
}

func TestAnOwnerWhoseReplyIsLostCostsNoSecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.own("owner")
		owner, a, b := r.guard("owner"), r.guard("a"), r.guard("b")
		r.mute(true)
		c := granted(t, a, request("k"))
		assert.Equal(t, refused(t, b, request("k")).Reason, value.ReasonStillRunning)
		r.mute(false)
		assert.NilError(t, c.Finish(t.Context(), done("one")))
		_, stored, err := owner.Claim(t.Context(), request("k"))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Body), "one")
	})
}

func TestAClaimGivenBackIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.own("owner")
		r.guard("owner")
		a, b := r.guard("a"), r.guard("b")
		assert.NilError(t, granted(t, a, request("k")).Release(t.Context()))
		c := granted(t, b, request("k"))
		assert.NilError(t, c.Doubt(t.Context()))
		assert.Equal(t, refused(t, a, request("k")).Reason, value.ReasonOutcomeUnknown)
	})
}
