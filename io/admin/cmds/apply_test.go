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

// bench is a key-value service with faults and the commands over it, in virtual time.
type bench struct {
	t     *testing.T
	store *fakes.Store
	cmds.Config
}

func run(t *testing.T, test func(t *testing.T, b bench)) {
	synctest.Test(t, func(t *testing.T) {
		inner, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 64})
		assert.NilError(t, err)
		store := fakes.NewStore(inner)
		test(t, bench{t: t, store: store, Config: cmds.Config{Store: store, Now: time.Now}})
	})
}

// document returns a sound document whose bytes differ by the word.
func document(t *testing.T, word string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../../examples/vadodara.yaml")
	assert.NilError(t, err)
	return append(data, "# "+word+"\n"...)
}

func (b bench) apply(who, id string, expect int64, word string) (value.AppliedChange, error) {
	o := cmds.ApplyOrder{Environment: trial, Change: value.ChangeID(id), Expect: expect, Document: document(b.t, word)}
	return cmds.Apply(b.t.Context(), b.Config, who, o)
}

func (b bench) set(f fakes.Faults) {
	b.t.Helper()
	assert.NilError(b.t, b.store.Set(f))
}

func (b bench) kept(e value.Environment) conf.Record {
	b.t.Helper()
	b.set(fakes.Faults{})
	r, err := conf.Load(b.t.Context(), b.store, e)
	assert.NilError(b.t, err)
	return r
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		first, err := b.apply("asha", "base", 0, "base")
		assert.NilError(t, err)
		b.set(fakes.Faults{Delay: 10 * time.Millisecond})
		errs := make(chan error, 2)
		for _, who := range []string{"asha", "mette"} {
			go func() {
				_, err := b.apply(who, "by-"+who, first.Revision, "by "+who)
				errs <- err
			}()
		}
		one, two := <-errs, <-errs
		if one == nil {
			one, two = two, one
		}
		assert.NilError(t, two)
		var conflict value.ChangeConflict
		assert.Assert(t, errorAs(one, &conflict), "%v", one)
		assert.Assert(t, conflict.Attempted.Who != conflict.Current.Change.Who)
		winner := b.kept(trial).Standing.Change
		assert.Equal(t, conflict.Current.Change, winner)
		for _, part := range []string{"by-asha", "by-mette", "asha", "mette", winner.Digest[:12], conflict.Attempted.Digest[:12]} {
			assert.Assert(t, strings.Contains(conflict.Error(), part), "%s lacks %s", conflict, part)
		}
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		b.set(fakes.Faults{LostAnswers: 1})
		got, err := b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		assert.Equal(t, b.store.Writes(), int64(1))
		assert.Equal(t, b.kept(trial).Standing.Revision, got.Revision)
	})
}

func TestLostAnswerOfAChangeThatWasOvertaken(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		b.set(fakes.Faults{LostAnswers: 1})
		done := make(chan error, 1)
		go func() {
			got, err := b.apply("asha", "one", 0, "one")
			if err == nil && !got.Superseded {
				err = fmt.Errorf("not told that another change followed: %+v", got)
			}
			done <- err
		}()
		// The first change has taken effect and waits before it reads back.
		synctest.Wait()
		mid, err := conf.Load(t.Context(), b.store, trial)
		assert.NilError(t, err)
		_, err = b.apply("mette", "two", mid.Standing.Revision, "two")
		assert.NilError(t, err)
		assert.NilError(t, <-done)
		assert.Equal(t, b.kept(trial).Standing.Change.Who, "mette")
	})
}

func TestServiceDownBeforeAndAfterTheChange(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		b.set(fakes.Faults{Down: true})
		_, err := b.apply("asha", "one", 0, "one")
		assert.ErrorType(t, err, value.ChangeUnavailable{})
		assert.Equal(t, b.kept(trial).Standing.Revision, int64(0))

		b.set(fakes.Faults{LostAnswers: 1})
		done := make(chan error, 1)
		go func() {
			_, err := b.apply("asha", "two", 0, "two")
			done <- err
		}()
		synctest.Wait()
		b.set(fakes.Faults{Down: true})
		assert.ErrorType(t, <-done, value.ChangeUnknown{})

		standing := b.kept(trial).Standing
		again, err := b.apply("asha", "two", 0, "two")
		assert.NilError(t, err)
		assert.Equal(t, again.Revision, standing.Revision, "the repeated order changes nothing")
	})
}

func TestChangeThatTakesEffectAfterItsCallerHasGone(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		b.set(fakes.Faults{Delay: 10 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		o := cmds.ApplyOrder{Environment: trial, Change: "late", Document: document(t, "late")}
		_, err := cmds.Apply(ctx, b.Config, "asha", o)
		assert.ErrorType(t, err, value.ChangeUnknown{})
		time.Sleep(time.Minute)
		got, err := b.apply("asha", "late", 0, "late")
		assert.NilError(t, err)
		assert.Equal(t, len(b.kept(trial).Standing.History), 0, "it took effect once")
		assert.Equal(t, got.Revision, b.kept(trial).Standing.Revision)
	})
}

func TestStaleReadingDoesNotTurnBack(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		one, err := b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		b.set(fakes.Faults{Stale: true})
		two, err := b.apply("asha", "two", one.Revision, "two")
		assert.NilError(t, err)
		_, err = b.apply("mette", "three", one.Revision, "three")
		var conflict value.ChangeConflict
		assert.Assert(t, errorAs(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Current.Change.ID, value.ChangeID("two"), "the conflict shows what truly stands")
		assert.Equal(t, conflict.Current.Revision, two.Revision)
	})
}

func TestIdentifierOfAnotherDocument(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		_, err := b.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		_, err = b.apply("asha", "one", 0, "other")
		assert.ErrorType(t, err, value.ChangeRefused{})
	})
}

func TestFaultyDocumentIsNotSent(t *testing.T) {
	run(t, func(t *testing.T, b bench) {
		o := cmds.ApplyOrder{Environment: trial, Change: "x", Document: []byte("Name: x\n")}
		_, err := cmds.Apply(t.Context(), b.Config, "asha", o)
		var faults conf.Faults
		assert.Assert(t, errorAs(err, &faults), "%v", err)
		assert.Equal(t, b.store.Writes(), int64(0))
	})
}
