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

func (f fixture) rollOut(o steps.Order) (value.Progress, error) {
	return cmds.RollOut(f.t.Context(), f.Config, cmds.RollOutOrder{Environment: trial, Name: "medium-3", Order: o})
}

func (f fixture) loadProgress() value.Progress {
	f.t.Helper()
	e, err := f.store.Get(f.t.Context(), conf.RollOutKey(trial, "medium-3"))
	assert.NilError(f.t, err)
	p, err := conf.DecodeProgress(e)
	assert.NilError(f.t, err)
	return p
}

func TestConcurrentAdvancesOfOneStageAdvanceOnce(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		_, err := f.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.Equal(t, reasonOf(t, err), value.ReasonUnknownRollOut)
		_, err = f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		_, err = f.rollOut(steps.Order{Verb: steps.VerbAdvance})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
		_, err = f.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		f.setFaults(fakes.StoreFaults{Delay: 10 * time.Millisecond})
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := f.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 0})
				errs <- err
			}()
		}
		assert.NilError(t, <-errs)
		assert.NilError(t, <-errs)
		assert.Equal(t, f.loadProgress().Stage, 1, "two orders to leave stage 0 advance the roll-out by one stage")
		_, err = f.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 3})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
	})
}

func TestWithdrawWinsOverAConcurrentAdvance(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		_, err := f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		_, err = f.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		f.setFaults(fakes.StoreFaults{Delay: 10 * time.Millisecond})
		done := make(chan error, 2)
		go func() {
			_, err := f.rollOut(steps.Order{Verb: steps.VerbWithdraw})
			done <- err
		}()
		go func() {
			// The advance may be refused, or take effect before the withdrawal.
			_, _ = f.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 0})
			done <- nil
		}()
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
		assert.Equal(t, f.loadProgress().Phase, value.PhaseWithdrawn)
		_, err = f.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
	})
}

func TestRollOutOrderTakesEffectOnceWhenTheStoreAnswerIsLost(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		_, err := f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		f.setFaults(fakes.StoreFaults{LostAnswers: 1})
		p, err := f.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		assert.DeepEqual(t, p, f.loadProgress())
		assert.Equal(t, p.Epoch, int64(2), "the order took effect once")

		f.setFaults(fakes.StoreFaults{LostAnswers: 1})
		done := make(chan error, 1)
		go func() {
			_, err := f.rollOut(steps.Order{Verb: steps.VerbWithdraw})
			done <- err
		}()
		synctest.Wait()
		f.setFaults(fakes.StoreFaults{Down: true})
		assert.ErrorType(t, <-done, value.ChangeUnknown{})
		f.setFaults(fakes.StoreFaults{})
		assert.Equal(t, f.loadProgress().Phase, value.PhaseWithdrawn)
	})
}
