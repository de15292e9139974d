package once_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/fakes"
	"endivehitch/io/once"
)

const (
	benchInstances = 7
	// benchWrites is the number of journal writes per second of all instances together.
	benchWrites  = 280.0
	benchLatency = 5 * time.Millisecond
)

// newFleet returns the guards of several instances that share a store and divide the write rate.
func newFleet(b *testing.B, useOwners bool, adjust func(*once.Config)) ([]*once.Guard, *fakes.Store) {
	b.Helper()
	h := newHarness(b)
	h.configure = func(c *once.Config) {
		c.Slots = benchInstances
		c.Rule.MaxBytes = 1 << 20
		c.MaxQueue = 1 << 20
		c.MaxBacklog = 1 << 20
		c.WriteRate = benchWrites / benchInstances
		c.RecordWait = time.Minute
		adjust(c)
		if !useOwners {
			c.Caller = nil
			return
		}
		c.Owner = func(slot int) (value.Instance, bool) {
			return instance(value.InstanceID(fmt.Sprint("i", slot))), true
		}
	}
	h.setFaults(fakes.StoreFaults{}.WithDelay(benchLatency))
	var guards []*once.Guard
	for i := range benchInstances {
		guards = append(guards, h.guard(value.InstanceID(fmt.Sprint("i", i))))
	}
	return guards, h.store
}

// runCalls has concurrent callers claim and finish the given number of calls, each caller one after
// the other, and returns the total time and the sorted times that the claims took.
func runCalls(b *testing.B, guards []*once.Guard, callers, calls int) (time.Duration, []time.Duration) {
	b.Helper()
	start := time.Now()
	var next atomic.Int64
	waits := make([]time.Duration, calls)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for n := int(next.Add(1)) - 1; n < calls; n = int(next.Add(1)) - 1 {
				req := request(fmt.Sprint(n))
				req.Deadline = time.Now().Add(time.Hour)
				claimed := time.Now()
				c, _, err := guards[i%len(guards)].Claim(context.Background(), req)
				for err != nil {
					c, _, err = guards[i%len(guards)].Claim(context.Background(), req)
				}
				waits[n] = time.Since(claimed)
				assert.Check(b, c.Finish(context.Background(), storedAnswer("ok")))
			}
		})
	}
	group.Wait()
	slices.Sort(waits)
	return time.Since(start), waits
}

// BenchmarkOnce measures the throughput limit and the added latency of calls that run at most once:
// with one write for each claim and each end, with group writes at each instance, and with group
// writes at slot owners, all at the same write rate.
func BenchmarkOnce(b *testing.B) {
	// With this many slots two calls hardly ever share one, as if each call had its own store key.
	single := func(c *once.Config) { c.MaxGroup = 1; c.Slots = 1 << 12 }
	grouped := func(*once.Config) {}
	variants := []struct {
		name      string
		adjust    func(*once.Config)
		useOwners bool
		calls     int
	}{
		{"single", single, false, 300},
		{"instance", grouped, false, 300},
		{"owner", grouped, true, 6000},
	}
	for b.Loop() {
		base := 0.0
		for _, v := range variants {
			guards, store := newFleet(b, v.useOwners, v.adjust)
			elapsed, waits := runCalls(b, guards, 40*benchInstances, v.calls)
			rate := float64(v.calls) / elapsed.Seconds()
			writes := float64(store.Writes()) / float64(v.calls)
			idleGuards, _ := newFleet(b, v.useOwners, v.adjust)
			_, idleWaits := runCalls(b, idleGuards, 1, 20)
			if base == 0 {
				base = rate
			}
			b.ReportMetric(rate, v.name+"-calls/s")
			b.ReportMetric(rate/base, v.name+"-x")
			b.ReportMetric(writes, v.name+"-writes/call")
			b.ReportMetric(milliseconds(waits[len(waits)/2]), v.name+"-full-ms")
			b.ReportMetric(milliseconds(idleWaits[len(idleWaits)/2]), v.name+"-calm-ms")
		}
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
