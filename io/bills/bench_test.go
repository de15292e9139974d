package bills_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/fakes"
)

const (
	peerLatency  = time.Millisecond
	storeLatency = 5 * time.Millisecond
)

// BenchmarkKeep compares ways to store bills: one write to the store for each bill, grouped writes,
// and copies at holders with a flush in segments. 200 callers store bills concurrently.
func BenchmarkKeep(b *testing.B) {
	const callers, each = 200, 20
	ways := []struct {
		name   string
		adjust func(*bills.Config)
	}{
		{"single", func(c *bills.Config) { c.Caller = nil; c.MaxSegmentBytes = 1 }},
		{"grouped", func(c *bills.Config) { c.Caller = nil }},
		{"copies", func(*bills.Config) {}},
	}
	for b.Loop() {
		for _, w := range ways {
			harness := newHarness(b)
			harness.adjust = func(c *bills.Config) {
				c.MaxBacklog, c.MaxHeldEntries, c.MaxSegmentBytes = 1<<20, 1<<20, 256<<10
				c.ReplicationTimeout = time.Minute
				w.adjust(c)
			}
			harness.setFaults(fakes.StoreFaults{}.WithDelay(storeLatency))
			harness.mesh.SetDelivery(func(_, _ value.Instance) fakes.Delivery { return fakes.Delivery{Delay: peerLatency} })
			a := harness.biller("a")
			harness.biller("b")
			harness.biller("c")
			start := time.Now()
			var group sync.WaitGroup
			for i := range callers {
				group.Go(func() {
					for n := range each {
						assert.Check(b, a.StoreBill(context.Background(), bill(i*each+n)))
					}
				})
			}
			group.Wait()
			elapsed := time.Since(start)
			assert.NilError(b, a.Flush(context.Background()))
			total := float64(callers * each)
			b.ReportMetric(total/elapsed.Seconds(), w.name+"-bills/s")
			b.ReportMetric(float64(harness.store.Writes())/total, w.name+"-writes/bill")
			b.ReportMetric(elapsed.Seconds()*1000/each, w.name+"-ms")
			if w.name == "copies" {
				b.ReportMetric(float64(a.port.Sent().Bytes)/total, "copied-B/bill")
			}
		}
		b.ReportMetric(storedBytes(b), "stored-B/bill")
	}
}

// storedBytes returns the stored size of a bill in bytes, as the mean of 500 bills.
func storedBytes(b *testing.B) float64 {
	b.Helper()
	harness := newHarness(b)
	harness.adjust = func(c *bills.Config) { c.MaxSegmentBytes = 256 << 10 }
	a := harness.biller("a")
	harness.biller("b")
	for i := range 500 {
		assert.NilError(b, a.StoreBill(context.Background(), bill(i)))
	}
	assert.NilError(b, a.Flush(context.Background()))
	l, err := harness.store.List(context.Background(), "bills/")
	assert.NilError(b, err)
	bytes := 0
	for _, e := range l.Entries {
		bytes += len(e.Value)
	}
	return float64(bytes) / 500
}

// BenchmarkResync measures the bytes and the time to bring a holder up to date that has missed some
// of a tail of 600 bills, compared with the full tail, which a holder without a copy needs.
func BenchmarkResync(b *testing.B) {
	const tail = 600
	for b.Loop() {
		for _, c := range []struct {
			name   string
			missed int
		}{{"1s", 20}, {"5s", 100}, {"15s", 300}, {"full", tail}} {
			bytes, elapsed := measureResync(b, tail, c.missed)
			b.ReportMetric(float64(bytes), c.name+"-B")
			b.ReportMetric(float64(elapsed.Microseconds())/1000, c.name+"-ms")
		}
	}
}

// measureResync returns the bytes sent and the time until a holder that has missed the last bills
// of the tail has all of it.
func measureResync(b *testing.B, tail, missed int) (int, time.Duration) {
	b.Helper()
	harness := newHarness(b)
	harness.adjust = func(c *bills.Config) {
		c.FlushInterval = noFlush
		c.MaxBacklog, c.MaxHeldEntries = 1<<20, 1<<20
		c.MinCopies = 1
	}
	a := harness.biller("a")
	harness.biller("b")
	setPartitioned := func(partitioned bool) {
		harness.mesh.SetDelivery(func(_, to value.Instance) fakes.Delivery {
			return fakes.Delivery{Delay: peerLatency, Unsent: partitioned && to.ID == "b"}
		})
	}
	setPartitioned(false)
	// The holder is unreachable for the last bills, and the store is down, so that they stay in the
	// tail.
	harness.setFaults(fakes.StoreFaults{}.WithDown(true))
	for i := range tail - missed {
		assert.NilError(b, a.StoreBill(context.Background(), bill(i)))
	}
	setPartitioned(true)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for i := tail - missed; i < tail; i++ {
		// The bill is added to the tail, and Store doesn't wait until it is safe.
		_ = a.StoreBill(cancelled, bill(i))
	}
	before, start := a.port.Sent().Bytes, time.Now()
	setPartitioned(false)
	assert.NilError(b, a.StoreBill(context.Background(), bill(tail-1)))
	return a.port.Sent().Bytes - before, time.Since(start)
}
