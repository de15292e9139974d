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

// documentLines is the number of lines that makes a document of about 64 KB.
const documentLines = 1000

// runInVirtualTime runs the function with a virtual clock. It wraps the function in a test, because
// synctest runs tests but no benchmarks.
func runInVirtualTime(b *testing.B, f func(t *testing.T)) {
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

func (f *fixture) traffic() fakes.Traffic {
	var sum fakes.Traffic
	for _, p := range f.processes {
		t := p.port.Sent()
		sum.Messages += t.Messages
		sum.Bytes += t.Bytes
	}
	return sum
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// awaitInForce waits until the given number of instances has the revision in force, or for a
// minute, and returns how long it waited.
func (f *fixture) awaitInForce(revision int64, instances int) time.Duration {
	start := time.Now()
	for f.countInForce(revision) < instances && time.Since(start) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// measurement is the result of one run: the traffic of all instances and the times until a change
// is in force.
type measurement struct {
	instances    int
	steady       fakes.Traffic
	change       fakes.Traffic
	cpu          time.Duration
	to99, toAll  time.Duration
	maxToAll     time.Duration
	watches      int
	readsAtStart int
}

const (
	settleTime  = 40 * time.Second
	steadyTime  = 20 * time.Second
	changes     = 5
	changePause = 10 * time.Second
)

// measureDissemination runs a fleet without changes first and then with a sequence of document
// changes.
func measureDissemination(t *testing.T, n, readers, lossPercent int) measurement {
	fx := newFixtureWithReaders(t, n, readers)
	defer fx.stop()
	var sent atomic.Int64
	fx.mesh.SetDelivery(func(from, to value.Instance) fakes.Delivery {
		d := latency(from, to)
		d.LoseRequest = int(sent.Add(1)*37%100) < lossPercent
		return d
	})
	fx.platform.putEntry("document", document(0), 1)
	time.Sleep(settleTime)
	result := measurement{instances: n, watches: fx.platform.watches, readsAtStart: fx.platform.reads}
	before, cpuBefore := fx.traffic(), cpuTime()
	time.Sleep(steadyTime)
	result.cpu = cpuTime() - cpuBefore
	result.steady = subtract(fx.traffic(), before)
	before = fx.traffic()
	for i := range changes {
		revision := int64(i + 2)
		fx.platform.putEntry("document", document(uint64(revision)), revision)
		result.to99 = max(result.to99, fx.awaitInForce(revision, n*99/100))
		result.toAll = fx.awaitInForce(revision, n) + result.to99
		result.maxToAll = max(result.maxToAll, result.toAll)
		time.Sleep(changePause)
	}
	result.change = subtract(fx.traffic(), before)
	return result
}

func subtract(a, b fakes.Traffic) fakes.Traffic {
	return fakes.Traffic{Messages: a.Messages - b.Messages, Bytes: a.Bytes - b.Bytes}
}

func (m measurement) report(b *testing.B) {
	nodeSeconds := float64(m.instances) * steadyTime.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(m.to99.Seconds(), "s/99%")
	b.ReportMetric(m.maxToAll.Seconds(), "s/all")
	b.ReportMetric(float64(m.steady.Messages)/nodeSeconds, "msg/node/s")
	b.ReportMetric(float64(m.steady.Bytes)/nodeSeconds, "B/node/s")
	b.ReportMetric(100*m.cpu.Seconds()/nodeSeconds, "%core/node")
	during := nodeSeconds * changes * changePause.Seconds() / steadyTime.Seconds()
	rest := float64(m.steady.Bytes) / nodeSeconds * during
	b.ReportMetric((float64(m.change.Bytes)-rest)/float64(m.instances*changes), "B/node/change")
	b.ReportMetric(float64(m.watches), "watches")
	b.ReportMetric(float64(m.watches)/float64(m.instances), "watches/baseline")
}

func runMeasurement(b *testing.B, n, readers, lossPercent int) {
	b.Helper()
	var result measurement
	for range b.N {
		runInVirtualTime(b, func(t *testing.T) { result = measureDissemination(t, n, readers, lossPercent) })
	}
	result.report(b)
}

// BenchmarkMeasureSpread measures the dissemination of a 64 KB document. In the baseline every
// instance watches the key-value service itself, which takes as many watches as instances.
func BenchmarkMeasureSpread(b *testing.B) {
	for _, n := range []int{7, 100, 500, 1000, 2300} {
		b.Run(fmt.Sprintf("Instances%d", n), func(b *testing.B) { runMeasurement(b, n, 2, 0) })
	}
	b.Run("Instances1000Loss2Percent", func(b *testing.B) { runMeasurement(b, 1000, 2, 2) })
	b.Run("BaselineAllWatch500", func(b *testing.B) { runMeasurement(b, 500, 500, 0) })
}
