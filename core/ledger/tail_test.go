package ledger_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
)

func billOf(n int) value.Bill {
	return value.Bill{Request: value.RequestID(fmt.Sprint(n)), CostMicros: int64(n)}
}

// Sends random, repeated and reordered parts of an owner's tail to the holder of a copy. The copy must
// never have a gap, and must be complete once the holder has requested the missing entries.
func TestCopiesOfATailHaveNoGapAndCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner, holder := ledger.NewTail("a", 0), ledger.NewTail("a", 0)
		var parts [][]ledger.Entry
		for n := range rapid.IntRange(1, 100).Draw(t, "steps") {
			owner = owner.With(billOf(n))
			since := owner.Flushed() + rapid.Int64Range(0, owner.Last()-owner.Flushed()).Draw(t, "since")
			parts = append(parts, owner.Since(since, rapid.IntRange(1, 2000).Draw(t, "bytes")))
			holder = holder.WithCopies(rapid.SampledFrom(parts).Draw(t, "part"))
			if rapid.IntRange(0, 9).Draw(t, "flush") == 0 {
				s := owner.Segment(1000)
				owner = owner.WithFlushed(s.Last())
				holder = holder.WithFlushed(s.Last())
			}
			next := holder.Flushed()
			for _, e := range holder.Since(next, 1<<20) {
				next++
				assert.Equal(t, e.Sequence, next)
				assert.Equal(t, e.Bill.CostMicros, next-1)
			}
		}
		for holder.Last() < owner.Last() {
			holder = holder.WithCopies(owner.Since(holder.Last(), 1000))
		}
		assert.Equal(t, holder.Len(), owner.Len())
	})
}
