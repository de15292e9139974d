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
	// benchWrites is the journal writes a second of all instances together.
	benchWrites  = 280.0
	benchLatency = 5 * time.Millisecond
)

// fleet returns guards that share a store and a budget of writes.
func fleet(b *testing.B, owned bool, adjust func(*once.Config)) ([]*once.Guard, *fakes.Store) {
	b.Helper()
	r := newRig(b)
	r.adjust = func(c *once.Config) {
		c.Slots = benchInstances
		c.Rule.MaxBytes = 1 << 20
		c.Queue = 1 << 20
		c.Backlog = 1 << 20
		c.Writes = benchWrites / benchInstances
		c.SettleWait = time.Minute
		adjust(c)
		if !owned {
			c.Caller = nil
			return
		}
		c.Owner = func(slot int) (value.Instance, bool) {
			return instance(value.InstanceID(fmt.Sprint("i", slot))), true
		}
	}
	r.setFaults(fakes.Faults{}.WithDelay(benchLatency))
	var guards []*once.Guard
	for i := range benchInstances {
		guards = append(guards, r.guard(value.InstanceID(fmt.Sprint("i", i))))
	}
	return guards, r.store
}

// drive has callers claim and finish so many calls, one after the other, and returns the time that
// all took and the sorted waits for a claim.
func drive(b *testing.B, guards []*once.Guard, callers, calls int) (time.Duration, []time.Duration) {
	b.Helper()
	began := time.Now()
	var next atomic.Int64
	waits := make([]time.Duration, calls)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for n := int(next.Add(1)) - 1; n < calls; n = int(next.Add(1)) - 1 {
				req := request(fmt.Sprint(n))
				req.Deadline = time.Now().Add(time.Hour)
				asked := time.Now()
				c, _, err := guards[i%len(guards)].Claim(context.Background(), req)
				for err != nil {
					c, _, err = guards[i%len(guards)].Claim(context.Background(), req)
				}
				waits[n] = time.Since(asked)
				assert.Check(b, c.Finish(context.Background(), done("ok")))
			}
		})
	}
	group.Wait()
	slices.Sort(waits)
	return time.Since(began), waits
}

// BenchmarkOnce gives the ceiling and the added latency of calls that run at most once, against one
// write for each intent and each end, at the same budget of writes.
func BenchmarkOnce(b *testing.B) {
	// With so many slots hardly two calls meet in one, as if each call had a key of its own.
	single := func(c *once.Config) { c.Group = 1; c.Slots = 1 << 12 }
	grouped := func(*once.Config) {}
	ways := []struct {
		name   string
		adjust func(*once.Config)
		owned  bool
		calls  int
	}{
		{"single", single, false, 300},
		{"instance", grouped, false, 300},
		{"owner", grouped, true, 6000},
	}
	for b.Loop() {
		base := 0.0
		for _, w := range ways {
			guards, store := fleet(b, w.owned, w.adjust)
			took, waits := drive(b, guards, 40*benchInstances, w.calls)
			rate := float64(w.calls) / took.Seconds()
			writes := float64(store.Writes()) / float64(w.calls)
			calm, _ := fleet(b, w.owned, w.adjust)
			_, quiet := drive(b, calm, 1, 20)
			if base == 0 {
				base = rate
			}
			b.ReportMetric(rate, w.name+"-calls/s")
			b.ReportMetric(rate/base, w.name+"-x")
			b.ReportMetric(writes, w.name+"-writes/call")
			b.ReportMetric(ms(waits[len(waits)/2]), w.name+"-full-ms")
			b.ReportMetric(ms(quiet[len(quiet)/2]), w.name+"-calm-ms")
		}
	}
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
