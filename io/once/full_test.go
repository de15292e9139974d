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

func TestCallWhoseAnswerIsTooLargeIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.guard("a")
		c := claimGranted(t, a, request("k"))
		assert.NilError(t, c.Finish(t.Context(), storedAnswer(string(make([]byte, 2<<10)))))
		refusal := claimRefused(t, a, request("k"))
		assert.Equal(t, refusal.Reason, value.ReasonOutcomeUnknown)
		assert.Assert(t, !refusal.NotRun)
	})
}

func TestFullJournalRefusesClaimsAndKeepsItsByteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.configure = func(c *once.Config) { c.Slots = 1; c.Rule.MaxBytes = 20 << 10 }
		a := h.guard("a")
		granted := 0
		for i := range 50 {
			// The quotes and backslashes in the key's stored form are escaped once more by JSON, which the
			// byte limit has to cover.
			c, _, err := a.Claim(t.Context(), request(fmt.Sprint("\"k\\\xff<", i)))
			if err != nil {
				var refusal value.Refusal
				assert.Assert(t, errors.As(err, &refusal))
				assert.Equal(t, refusal.Reason, value.ReasonJournalDown)
				assert.Assert(t, refusal.NotRun)
				continue
			}
			granted++
			assert.NilError(t, c.Finish(t.Context(), storedAnswer(string(make([]byte, 900)))))
		}
		entry, err := h.store.Get(t.Context(), "once/00000")
		assert.NilError(t, err)
		assert.Assert(t, len(entry.Value) <= 20<<10, "journal has %d bytes", len(entry.Value))
		assert.Assert(t, granted > 10 && granted < 50, "granted %d", granted)
	})
}
