package cmds_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

const trial = value.Environment("trial")

// fixture holds the commands' configuration and its store, which can inject faults.
type fixture struct {
	t     *testing.T
	store *fakes.Store
	cmds.Config
}

// withFixture runs the test with a new fixture in virtual time.
func withFixture(t *testing.T, test func(t *testing.T, f fixture)) {
	synctest.Test(t, func(t *testing.T) {
		inner, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 64})
		assert.NilError(t, err)
		store := fakes.NewStore(inner)
		test(t, fixture{t: t, store: store, Config: cmds.Config{Store: store, Now: time.Now}})
	})
}

// document returns a valid document that ends in the comment, so that documents differ in their
// bytes.
func document(t *testing.T, comment string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../../examples/vadodara.yaml")
	assert.NilError(t, err)
	return append(data, "# "+comment+"\n"...)
}

func (f fixture) apply(who, id string, expect int64, comment string) (value.AppliedChange, error) {
	o := cmds.ApplyOrder{Environment: trial, Change: value.ChangeID(id), Expect: expect, Document: document(f.t, comment)}
	return cmds.Apply(f.t.Context(), f.Config, who, o)
}

func (f fixture) setFaults(faults fakes.StoreFaults) {
	f.t.Helper()
	assert.NilError(f.t, f.store.SetFaults(faults))
}

// load removes the injected faults and returns the environment's record.
func (f fixture) load(e value.Environment) conf.Record {
	f.t.Helper()
	f.setFaults(fakes.StoreFaults{})
	r, err := conf.LoadRecord(f.t.Context(), f.store, e)
	assert.NilError(f.t, err)
	return r
}

func TestConcurrentAppliesLetOneWinAndReturnAConflictToTheOther(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		first, err := f.apply("asha", "base", 0, "base")
		assert.NilError(t, err)
		f.setFaults(fakes.StoreFaults{Delay: 10 * time.Millisecond})
		errs := make(chan error, 2)
		for _, who := range []string{"asha", "mette"} {
			go func() {
				_, err := f.apply(who, "by-"+who, first.Revision, "by "+who)
				errs <- err
			}()
		}
		conflicting, won := <-errs, <-errs
		if conflicting == nil {
			conflicting, won = won, conflicting
		}
		assert.NilError(t, won)
		var conflict value.ChangeConflict
		assert.Assert(t, errorAs(conflicting, &conflict), "%v", conflicting)
		assert.Assert(t, conflict.Attempted.Who != conflict.Current.Change.Who)
		winner := f.load(trial).Current.Change
		assert.Equal(t, conflict.Current.Change, winner)
		for _, text := range []string{"by-asha", "by-mette", "asha", "mette", winner.Digest[:12], conflict.Attempted.Digest[:12]} {
			assert.Assert(t, strings.Contains(conflict.Error(), text), "%s lacks %s", conflict, text)
		}
	})
}

func TestApplyResolvesALostStoreAnswerByReading(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		f.setFaults(fakes.StoreFaults{LostAnswers: 1})
		got, err := f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		assert.Equal(t, f.store.Writes(), int64(1))
		assert.Equal(t, f.load(trial).Current.Revision, got.Revision)
	})
}

func TestApplyReportsItsChangeSupersededAfterALostStoreAnswer(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		f.setFaults(fakes.StoreFaults{LostAnswers: 1})
		done := make(chan error, 1)
		go func() {
			got, err := f.apply("asha", "one", 0, "one")
			if err == nil && !got.Superseded {
				err = fmt.Errorf("the result does not say that another change followed: %+v", got)
			}
			done <- err
		}()
		// The first change has taken effect; its writer pauses before it reads the record back.
		synctest.Wait()
		applied, err := conf.LoadRecord(t.Context(), f.store, trial)
		assert.NilError(t, err)
		_, err = f.apply("mette", "two", applied.Current.Revision, "two")
		assert.NilError(t, err)
		assert.NilError(t, <-done)
		assert.Equal(t, f.load(trial).Current.Change.Who, "mette")
	})
}

func TestStoreDownBeforeTheWriteIsUnavailableAndAfterItIsUnknown(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		f.setFaults(fakes.StoreFaults{Down: true})
		_, err := f.apply("asha", "one", 0, "one")
		assert.ErrorType(t, err, value.ChangeUnavailable{})
		assert.Equal(t, f.load(trial).Current.Revision, int64(0))

		f.setFaults(fakes.StoreFaults{LostAnswers: 1})
		done := make(chan error, 1)
		go func() {
			_, err := f.apply("asha", "two", 0, "two")
			done <- err
		}()
		synctest.Wait()
		f.setFaults(fakes.StoreFaults{Down: true})
		assert.ErrorType(t, <-done, value.ChangeUnknown{})

		current := f.load(trial).Current
		again, err := f.apply("asha", "two", 0, "two")
		assert.NilError(t, err)
		assert.Equal(t, again.Revision, current.Revision, "the retried order changes nothing")
	})
}

func TestChangeAppliedAfterItsCallerTimedOutIsNotAppliedAgain(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		f.setFaults(fakes.StoreFaults{Delay: 10 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		o := cmds.ApplyOrder{Environment: trial, Change: "late", Document: document(t, "late")}
		_, err := cmds.Apply(ctx, f.Config, "asha", o)
		assert.ErrorType(t, err, value.ChangeUnknown{})
		time.Sleep(time.Minute)
		got, err := f.apply("asha", "late", 0, "late")
		assert.NilError(t, err)
		assert.Equal(t, len(f.load(trial).Current.History), 0, "the change took effect once")
		assert.Equal(t, got.Revision, f.load(trial).Current.Revision)
	})
}

func TestStaleReadDoesNotRevertANewerChange(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		one, err := f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		f.setFaults(fakes.StoreFaults{Stale: true})
		two, err := f.apply("asha", "two", one.Revision, "two")
		assert.NilError(t, err)
		_, err = f.apply("mette", "three", one.Revision, "three")
		var conflict value.ChangeConflict
		assert.Assert(t, errorAs(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Current.Change.ID, value.ChangeID("two"), "the conflict shows the record that is in force, not the stale one")
		assert.Equal(t, conflict.Current.Revision, two.Revision)
	})
}

func TestChangeIDReusedForAnotherDocumentIsRefused(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		_, err := f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		_, err = f.apply("asha", "one", 0, "other")
		assert.ErrorType(t, err, value.ChangeRefused{})
	})
}

func TestInvalidDocumentIsNotWritten(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		o := cmds.ApplyOrder{Environment: trial, Change: "x", Document: []byte("Name: x\n")}
		_, err := cmds.Apply(t.Context(), f.Config, "asha", o)
		var faults conf.Faults
		assert.Assert(t, errorAs(err, &faults), "%v", err)
		assert.Equal(t, f.store.Writes(), int64(0))
	})
}
