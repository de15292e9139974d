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

func (b bench) rollOut(o steps.Order) (value.Progress, error) {
	return cmds.RollOut(b.t.Context(), b.Config, cmds.RollOutOrder{Environment: trial, Name: "medium-3", Order: o})
}

func (b bench) position() value.Progress {
	b.t.Helper()
	e, err := b.store.Get(b.t.Context(), conf.RollOutKey(trial, "medium-3"))
	assert.NilError(b.t, err)
	p, err := conf.DecodeProgress(e)
	assert.NilError(b.t, err)
	return p
}

func TestTwoOperatorsAdvanceOneStage(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		_, err := b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.Equal(t, reasonOf(t, err), value.ReasonUnknownRollOut)
		_, err = b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		_, err = b.rollOut(steps.Order{Verb: steps.VerbAdvance})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
		_, err = b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		b.set(fakes.Faults{Delay: 10 * time.Millisecond})
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := b.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 0})
				errs <- err
			}()
		}
		assert.NilError(t, <-errs)
		assert.NilError(t, <-errs)
		assert.Equal(t, b.position().Stage, 1, "two orders to leave stage 0 leave one stage")
		_, err = b.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 3})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
	})
}

func TestWithdrawalWinsOverAnAdvanceAtTheSameMoment(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		_, err := b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		_, err = b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		b.set(fakes.Faults{Delay: 10 * time.Millisecond})
		done := make(chan error, 2)
		go func() {
			_, err := b.rollOut(steps.Order{Verb: steps.VerbWithdraw})
			done <- err
		}()
		go func() {
			// The advance is refused or comes before the withdrawal.
			_, _ = b.rollOut(steps.Order{Verb: steps.VerbAdvance, Stage: 0})
			done <- nil
		}()
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
		assert.Equal(t, b.position().Phase, value.PhaseWithdrawn)
		_, err = b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.Equal(t, reasonOf(t, err), value.ReasonWrongPhase)
	})
}

func TestRollOutOrderWithALostAnswer(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		_, err := b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		b.set(fakes.Faults{LostAnswers: 1})
		p, err := b.rollOut(steps.Order{Verb: steps.VerbStart})
		assert.NilError(t, err)
		assert.DeepEqual(t, p, b.position())
		assert.Equal(t, p.Epoch, int64(2), "the order took effect once")

		b.set(fakes.Faults{LostAnswers: 1})
		done := make(chan error, 1)
		go func() {
			_, err := b.rollOut(steps.Order{Verb: steps.VerbWithdraw})
			done <- err
		}()
		synctest.Wait()
		b.set(fakes.Faults{Down: true})
		assert.ErrorType(t, <-done, value.ChangeUnknown{})
		b.set(fakes.Faults{})
		assert.Equal(t, b.position().Phase, value.PhaseWithdrawn)
	})
}
