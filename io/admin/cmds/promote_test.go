package cmds_test

import (
	"bytes"
	"encoding/base64"
	"errors"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

const production = value.Environment("production")

func errorAs[E error](err error, into *E) bool {
	return errors.As(err, into)
}

func (f fixture) promote(id string, expect int64, digest string) (value.AppliedChange, error) {
	o := cmds.PromoteOrder{From: trial, To: production, Change: value.ChangeID(id), Expect: expect, Digest: digest}
	return cmds.Promote(f.t.Context(), f.Config, "mette", o)
}

func reasonOf(t *testing.T, err error) value.Reason {
	t.Helper()
	var refused value.ChangeRefused
	assert.Assert(t, errorAs(err, &refused), "%v", err)
	return refused.Reason
}

func TestPromoteCopiesTheExactBytesOrIsRefused(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		_, err := f.promote("early", 0, "")
		assert.Equal(t, reasonOf(t, err), value.ReasonNothingStored)
		one, err := f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		moved, err := f.promote("p1", 0, one.Change.Digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, f.load(production).Bytes, document(t, "one"))
		assert.Equal(t, moved.Change.Digest, one.Change.Digest)

		_, err = f.apply("asha", "two", one.Revision, "two")
		assert.NilError(t, err)
		_, err = f.promote("p2", moved.Revision, one.Change.Digest)
		assert.Equal(t, reasonOf(t, err), value.ReasonNotInTrial)
		assert.DeepEqual(t, f.load(production).Bytes, document(t, "one"))
	})
}

// The store makes the change of the first call but its answer is lost, and it is down before the call can
// read the change back. The outcome is unknown to the operator, who sends the same change again.
func TestRetriedPromoteAfterALostStoreAnswerWritesOnce(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		_, err := f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		f.setFaults(fakes.StoreFaults{LostAnswers: 1})
		done := make(chan error, 1)
		go func() {
			_, err := f.promote("p1", 0, "")
			done <- err
		}()
		synctest.Wait()
		f.setFaults(fakes.StoreFaults{Down: true})
		assert.ErrorType(t, <-done, value.ChangeUnknown{})
		writes := f.store.Writes()
		f.setFaults(fakes.StoreFaults{})
		_, err = f.promote("p1", 0, "")
		assert.NilError(t, err, "the retried order is not refused as already in force")
		assert.Equal(t, f.store.Writes(), writes)
	})
}

func TestPromoteRefusesBytesThatDontMatchTheDigest(t *testing.T) {
	withFixture(t, func(t *testing.T, f fixture) {
		_, err := f.apply("asha", "one", 0, "one")
		assert.NilError(t, err)
		e, err := f.store.Get(t.Context(), conf.DocumentKey(trial))
		assert.NilError(t, err)
		original := base64.StdEncoding.EncodeToString(document(t, "one"))
		altered := base64.StdEncoding.EncodeToString(document(t, "0ne"))
		damaged := bytes.Replace(e.Value, []byte(original), []byte(altered), 1)
		_, err = f.store.Swap(t.Context(), plat.Swap{Key: e.Key, Expect: e.Revision, Value: damaged})
		assert.NilError(t, err)
		_, err = f.promote("p1", 0, "")
		assert.Equal(t, reasonOf(t, err), value.ReasonDigestMismatch)
	})
}
