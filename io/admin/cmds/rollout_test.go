package cmds_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/steps"
	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
)

func (b fixture) rollOut(o steps.Order) (value.Progress, error) {
	return cmds.RollOut(b.t.Context(), b.Config, cmds.RollOutOrder{Environment: trial, Name: "medium-3", Order: o})
}

func (b fixture) loadProgress() value.Progress {
	b.t.Helper()
	e, err := b.store.Get(b.t.Context(), conf.RollOutKey(trial, "medium-3"))
	assert.NilError(b.t, err)
	p, err := conf.DecodeProgress(e)
	assert.NilError(b.t, err)
	return p
}

func TestConcurrentAdvancesOfOneStageAdvanceOnce(t *testing.T) {
	withFixture(t, func(t *testing.T, b fixture) {
		_, err := b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.Equal(t, reasonOf(t, err), value.ReasonUnknownRollOut)
		_, err = b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		_, err = b.rollOut(steps.Order{Verb: steps.VerbAdvance})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
		_, err = b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		b.setFaults(fakes.StoreFaults{Delay: 10 * time.Millisecond})
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := b.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 0})
				errs <- err
			}()
		}
		assert.NilError(t, <-errs)
		assert.NilError(t, <-errs)
		assert.Equal(t, b.loadProgress().Stage, 1, "two orders to leave stage 0 advance the roll-out by one stage")
		_, err = b.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 3})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
	})
}

func TestWithdrawWinsOverAConcurrentAdvance(t *testing.T) {
	withFixture(t, func(t *testing.T, b fixture) {
		_, err := b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		_, err = b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		b.setFaults(fakes.StoreFaults{Delay: 10 * time.Millisecond})
		done := make(chan error, 2)
		go func() {
			_, err := b.rollOut(steps.Order{Verb: steps.VerbWithdraw})
			done <- err
		}()
		go func() {
			// The advance may be refused, or take effect before the withdrawal.
			_, _ = b.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 0})
			done <- nil
		}()
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
		assert.Equal(t, b.loadProgress().Phase, value.PhaseWithdrawn)
		_, err = b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
	})
}

func TestRollOutOrderTakesEffectOnceWhenTheStoreAnswerIsLost(t *testing.T) {
	withFixture(t, func(t *testing.T, b fixture) {
		_, err := b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		b.setFaults(fakes.StoreFaults{LostAnswers: 1})
		p, err := b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		assert.DeepEqual(t, p, b.loadProgress())
		assert.Equal(t, p.Epoch, int64(2), "the order took effect once")

		b.setFaults(fakes.StoreFaults{LostAnswers: 1})
		done := make(chan error, 1)
		go func() {
			_, err := b.rollOut(steps.Order{Verb: steps.VerbWithdraw})
			done <- err
		}()
		synctest.Wait()
		b.setFaults(fakes.StoreFaults{Down: true})
		assert.ErrorType(t, <-done, value.ChangeUnknown{})
		b.setFaults(fakes.StoreFaults{})
		assert.Equal(t, b.loadProgress().Phase, value.PhaseWithdrawn)
	})
}
