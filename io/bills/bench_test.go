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

// BenchmarkKeep compares ways to keep bills: a write to the store for each, grouped writes, and
// copies at holders with a flush in segments; 200 requests at a time, one instance's share of
// 40 writes a second.
func BenchmarkKeep(b *testing.B) {
	const callers, each = 200, 20
	ways := []struct {
		name   string
		adjust func(*bills.Config)
	}{
		{"single", func(c *bills.Config) { c.Caller = nil; c.SegmentBytes = 1 }},
		{"grouped", func(c *bills.Config) { c.Caller = nil }},
		{"copies", func(*bills.Config) {}},
	}
	for b.Loop() {
		for _, w := range ways {
			r := newRig(b)
			r.adjust = func(c *bills.Config) {
				c.Backlog, c.HeldEntries, c.SegmentBytes = 1<<20, 1<<20, 256<<10
				c.Patience = time.Minute
				w.adjust(c)
			}
			r.setFaults(fakes.Faults{}.WithDelay(storeLatency))
			r.mesh.Set(func(_, _ value.Instance) fakes.Fate { return fakes.Fate{Delay: peerLatency} })
			a := r.biller("a")
			r.biller("b")
			r.biller("c")
			began := time.Now()
			var group sync.WaitGroup
			for i := range callers {
				group.Go(func() {
					for n := range each {
						assert.Check(b, a.Keep(context.Background(), bill(i*each+n)))
					}
				})
			}
			group.Wait()
			took := time.Since(began)
			assert.NilError(b, a.Flush(context.Background()))
			total := float64(callers * each)
			b.ReportMetric(total/took.Seconds(), w.name+"-bills/s")
			b.ReportMetric(float64(r.store.Writes())/total, w.name+"-writes/bill")
			b.ReportMetric(took.Seconds()*1000/each, w.name+"-ms")
			if w.name == "copies" {
				b.ReportMetric(float64(a.port.Sent().Bytes)/total, "copied-B/bill")
			}
		}
		b.ReportMetric(storedBytes(b), "stored-B/bill")
	}
}

// storedBytes returns what one bill takes in a segment of 500.
func storedBytes(b *testing.B) float64 {
	b.Helper()
	r := newRig(b)
	r.adjust = func(c *bills.Config) { c.SegmentBytes = 256 << 10 }
	a := r.biller("a")
	r.biller("b")
	for i := range 500 {
		assert.NilError(b, a.Keep(context.Background(), bill(i)))
	}
	assert.NilError(b, a.Flush(context.Background()))
	l, err := r.store.List(context.Background(), "bills/")
	assert.NilError(b, err)
	bytes := 0
	for _, e := range l.Entries {
		bytes += len(e.Value)
	}
	return float64(bytes) / 500
}

// BenchmarkResync measures what brings a holder back that missed some of a tail of 600 bills: only
// what it lacks, against the whole tail, which a holder without a copy needs.
func BenchmarkResync(b *testing.B) {
	const tail = 600
	for b.Loop() {
		for _, c := range []struct {
			name   string
			missed int
		}{{"1s", 20}, {"5s", 100}, {"15s", 300}, {"full", tail}} {
			bytes, took := resync(b, tail, c.missed)
			b.ReportMetric(float64(bytes), c.name+"-B")
			b.ReportMetric(float64(took.Microseconds())/1000, c.name+"-ms")
		}
	}
}

func resync(b *testing.B, tail, missed int) (int, time.Duration) {
	b.Helper()
	r := newRig(b)
	r.adjust = func(c *bills.Config) {
		c.Flush = never
		c.Backlog, c.HeldEntries = 1<<20, 1<<20
		c.Copies = 1
	}
	a := r.biller("a")
	r.biller("b")
	cut := func(off bool) {
		r.mesh.Set(func(_, to value.Instance) fakes.Fate {
			return fakes.Fate{Delay: peerLatency, Unsent: off && to.ID == "b"}
		})
	}
	cut(false)
	// The one holder is cut off for the last bills, which the store's absence leaves in the tail.
	r.setFaults(fakes.Faults{}.WithDown(true))
	for i := range tail - missed {
		assert.NilError(b, a.Keep(context.Background(), bill(i)))
	}
	cut(true)
	hasty, cancel := context.WithCancel(context.Background())
	cancel()
	for i := tail - missed; i < tail; i++ {
		// The bill gets its place in the tail, and nobody waits for it yet.
		_ = a.Keep(hasty, bill(i))
	}
	before, began := a.port.Sent().Bytes, time.Now()
	cut(false)
	assert.NilError(b, a.Keep(context.Background(), bill(tail-1)))
	return a.port.Sent().Bytes - before, time.Since(began)
}
