package once_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/once"
)

func TestALargeAnswerIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		a := r.guard("a")
		c := granted(t, a, request("k"))
		assert.NilError(t, c.Finish(t.Context(), done(string(make([]byte, 2<<10)))))
		refusal := refused(t, a, request("k"))
		assert.Equal(t, refusal.Reason, value.ReasonOutcomeUnknown)
		assert.Assert(t, !refusal.NotRun)
	})
}

func TestAFullJournalRefusesAndStaysInsideItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.adjust = func(c *once.Config) { c.Slots = 1; c.Rule.MaxBytes = 20 << 10 }
		a := r.guard("a")
		kept := 0
		for i := range 50 {
			c, _, err := a.Claim(t.Context(), request(fmt.Sprint("\"k\\\xff<", i)))
			if err != nil {
				var refusal value.Refusal
				assert.Assert(t, errors.As(err, &refusal))
				assert.Equal(t, refusal.Reason, value.ReasonJournalDown)
				assert.Assert(t, refusal.NotRun)
				continue
			}
			kept++
			assert.NilError(t, c.Finish(t.Context(), done(string(make([]byte, 900)))))
		}
		e, err := r.store.Get(t.Context(), "once/00000")
		assert.NilError(t, err)
		assert.Assert(t, len(e.Value) <= 20<<10, "journal has %d bytes", len(e.Value))
		assert.Assert(t, kept > 10 && kept < 50, "kept %d", kept)
	})
}
