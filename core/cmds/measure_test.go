package cmds_test

import (
	"fmt"
	"runtime"
	"testing"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

func stateWithInstances(n int) state.State {
	s := state.New(live("self"))
	for i := range n - 1 {
		id := value.InstanceID(fmt.Sprintf("7f2c19e4-%08d", i))
		s = s.WithInstance(value.Instance{
			ID: id, FailureDomain: value.FailureDomain(fmt.Sprintf("domain-%d", i%8)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), State: value.InstanceLive, Listed: true,
		})
	}
	return s
}

// BenchmarkMeasureMembers reports the cost of membership for one instance: the memory of its state, and
// the time to merge one message and to choose the instances to probe.
func BenchmarkMeasureMembers(b *testing.B) {
	for _, n := range []int{7, 100, 500, 1000, 2300} {
		b.Run(fmt.Sprintf("Instances%d", n), func(b *testing.B) {
			before := heap()
			s := stateWithInstances(n)
			stateKB := float64(heap()-before) / 1024
			i, _ := s.Instance("7f2c19e4-00000003")
			message := cmds.ReceiveMessage{From: i}
			for b.Loop() {
				next, _ := message.Apply(s, start)
				query.View(next, timing, start)
			}
			b.ReportMetric(stateKB, "KB-state")
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
