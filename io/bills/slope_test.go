package bills_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/bills"
)

// BenchmarkSlopeBills measures the bytes that an instance sends to holders for each bill, and the
// writes to the key-value service for each flush, depending on the number of bills between two
// flushes.
func BenchmarkSlopeBills(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("Bills%d", n), func(b *testing.B) {
			for b.Loop() {
				harness := newHarness(b)
				harness.adjust = func(c *bills.Config) {
					c.MaxBacklog, c.MaxHeldEntries, c.MaxSegmentBytes, c.FlushInterval = 2*n, 2*n, 256<<10, noFlush
				}
				owner := harness.biller("a")
				harness.biller("b")
				harness.biller("c")
				for i := range n {
					assert.NilError(b, owner.StoreBill(context.Background(), slopeBill(i)))
				}
				before := harness.store.Writes()
				assert.NilError(b, owner.Flush(context.Background()))
				b.ReportMetric(float64(harness.store.Writes()-before), "writes/flush")
				b.ReportMetric(float64(owner.port.Sent().Bytes)/float64(n), "B-sent/bill")
			}
		})
	}
}

func slopeBill(i int) value.Bill {
	return value.Bill{
		Request: value.RequestID(fmt.Sprintf("0c1c041e-f049-4699-909c-%012d", i)), Account: "ward-alkapuri",
		Kind: "menu-draft", Version: "drafting-llm/large-2", InputTokens: 500, OutputTokens: 400,
		CostMicros: 18467, Runs: 1, At: time.Unix(1_700_000_000, 0),
	}
}
