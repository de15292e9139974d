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

// TestCopiesFollowTheOwner sends random, repeated and reordered parts of an owner's tail to a holder
// and checks that it never has a gap, and has all once it asks for what it lacks.
func TestCopiesFollowTheOwner(t *testing.T) {
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

func TestHoldersStandInOtherFailureDomains(t *testing.T) {
	fleet := []value.Instance{}
	for i := range 12 {
		fleet = append(fleet, value.Instance{
			ID: value.InstanceID(fmt.Sprint(i)), FailureDomain: value.FailureDomain(fmt.Sprint("guj-", i%3)), State: value.InstanceLive,
		})
	}
	for _, self := range fleet {
		got := ledger.Holders(self, fleet, 2)
		assert.Equal(t, len(got), 2)
		assert.Assert(t, got[0].FailureDomain != self.FailureDomain && got[1].FailureDomain != self.FailureDomain)
		assert.Assert(t, got[0].FailureDomain != got[1].FailureDomain)
		for i := range fleet {
			if fleet[i].ID != got[0].ID && fleet[i].ID != got[1].ID {
				continue
			}
			without := append(append([]value.Instance{}, fleet[:i]...), fleet[i+1:]...)
			kept := ledger.Holders(self, without, 2)
			assert.Assert(t, kept[0].ID == got[0].ID || kept[0].ID == got[1].ID || kept[1].ID == got[0].ID || kept[1].ID == got[1].ID,
				"one holder's leaving moved both copies")
		}
	}
}
