package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/fakes"
)

// documentLines makes a document of about 64 KB.
const documentLines = 1000

// inBubble runs the function in virtual time, which the testing package offers to tests only.
func inBubble(b *testing.B, f func(t *testing.T)) {
	b.Helper()
	test := testing.InternalTest{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}
	every := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(every, []testing.InternalTest{test}) {
		b.Fail()
	}
}

func document(seed uint64) string {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var text strings.Builder
	for i := range documentLines {
		fmt.Fprintf(&text, "- {Name: ward-%d, Share: %d, Versions: [drafting-llm/v%d, drafting-llm/v%d]}\n", i, rnd.IntN(9), rnd.IntN(38), rnd.IntN(38))
	}
	return text.String()
}

func (r *rig) traffic() fakes.Traffic {
	var sum fakes.Traffic
	for _, p := range r.processes {
		t := p.port.Sent()
		sum.Messages += t.Messages
		sum.Bytes += t.Bytes
	}
	return sum
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// until returns how long it takes until so many instances have the revision in force.
func (r *rig) until(revision int64, instances int) time.Duration {
	begun := time.Now()
	for r.inForce(revision) < instances && time.Since(begun) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

type measured struct {
	n            int
	steady       fakes.Traffic
	change       fakes.Traffic
	processor    time.Duration
	most, all    time.Duration
	worst        time.Duration
	watches      int
	readsAtStart int
}

const (
	settleTime  = 40 * time.Second
	steadyTime  = 20 * time.Second
	changes     = 5
	changePause = 10 * time.Second
)

func measureSpread(t *testing.T, n, readers, lossPercent int) measured {
	r := newRigWith(t, n, readers)
	defer r.stop()
	var sent atomic.Int64
	r.mesh.Set(func(from, to value.Instance) fakes.Fate {
		f := latency(from, to)
		f.LoseRequest = int(sent.Add(1)*37%100) < lossPercent
		return f
	})
	r.platform.put("document", document(0), 1)
	time.Sleep(settleTime)
	m := measured{n: n, watches: r.platform.watches, readsAtStart: r.platform.reads}
	before, processor := r.traffic(), processorTime()
	time.Sleep(steadyTime)
	m.processor = processorTime() - processor
	m.steady = less(r.traffic(), before)
	before = r.traffic()
	for i := range changes {
		revision := int64(i + 2)
		r.platform.put("document", document(uint64(revision)), revision)
		m.most = max(m.most, r.until(revision, n*99/100))
		m.all = r.until(revision, n) + m.most
		m.worst = max(m.worst, m.all)
		time.Sleep(changePause)
	}
	m.change = less(r.traffic(), before)
	return m
}

func less(a, b fakes.Traffic) fakes.Traffic {
	return fakes.Traffic{Messages: a.Messages - b.Messages, Bytes: a.Bytes - b.Bytes}
}

func (m measured) report(b *testing.B) {
	nodeSeconds := float64(m.n) * steadyTime.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(m.most.Seconds(), "s/99%")
	b.ReportMetric(m.worst.Seconds(), "s/all")
	b.ReportMetric(float64(m.steady.Messages)/nodeSeconds, "msg/node/s")
	b.ReportMetric(float64(m.steady.Bytes)/nodeSeconds, "B/node/s")
	b.ReportMetric(100*m.processor.Seconds()/nodeSeconds, "%core/node")
	during := nodeSeconds * changes * changePause.Seconds() / steadyTime.Seconds()
	rest := float64(m.steady.Bytes) / nodeSeconds * during
	b.ReportMetric((float64(m.change.Bytes)-rest)/float64(m.n*changes), "B/node/change")
	b.ReportMetric(float64(m.watches), "watches")
	b.ReportMetric(float64(m.watches)/float64(m.n), "watches/baseline")
}

func run(b *testing.B, n, readers, lossPercent int) {
	b.Helper()
	var m measured
	for range b.N {
		inBubble(b, func(t *testing.T) { m = measureSpread(t, n, readers, lossPercent) })
	}
	m.report(b)
}

// BenchmarkMeasureSpread measures the spread of a 64 KB document; the baseline is
// that every instance watches the service, which needs as many watches as instances.
func BenchmarkMeasureSpread(b *testing.B) {
	for _, n := range []int{7, 100, 500, 1000, 2300} {
		b.Run(fmt.Sprintf("Instances%d", n), func(b *testing.B) { run(b, n, 2, 0) })
	}
	b.Run("Instances1000Loss2Percent", func(b *testing.B) { run(b, 1000, 2, 2) })
	b.Run("BaselineAllWatch500", func(b *testing.B) { run(b, 500, 500, 0) })
}
