package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/io/clock"
)

func TestWaitReturnsAfterTheTimeOrWhenTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.NilError(t, clock.Wait(t.Context(), time.Minute))
		assert.Equal(t, time.Since(began), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, clock.Wait(ctx, time.Minute), context.DeadlineExceeded)
		assert.Assert(t, !clock.WaitFully(ctx, 0), "must report false once the context has ended, even for a duration of zero")
	})
}
