package gossip_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/fakes"
)

func TestHealthyFleetStaysSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 7)
		time.Sleep(2 * time.Minute)
		assert.NilError(t, r.settled())
		for _, p := range r.processes {
			assert.Equal(t, p.logged("InstanceSuspected"), 0)
		}
	})
}

func TestKilledInstanceIsGoneAndItsSuccessorComesIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 7)
		dead := r.processes[3]
		r.kill(dead)
		time.Sleep(20 * time.Second)
		assert.Equal(t, r.seen(dead.self.ID, value.InstanceGone), 6)
		slots := 0
		for _, p := range r.processes {
			slots += len(query.OwnedSlots(p.loop.Snapshot()))
		}
		assert.Equal(t, slots, 256)
		// The successor takes over the address before the list shows it.
		next := dead.self
		next.ID = "instance-3b"
		r.processes = append(r.processes, r.start(next))
		time.Sleep(10 * time.Second)
		assert.NilError(t, r.settled())
	})
}

func TestInstanceReplacedAtOnceIsNotMistakenForItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 7)
		old := r.processes[2]
		r.kill(old)
		next := old.self
		next.ID = "instance-2b"
		r.processes = append(r.processes, r.start(next))
		time.Sleep(15 * time.Second)
		assert.NilError(t, r.settled())
		assert.Equal(t, r.seen(old.self.ID, value.InstanceGone), 7)
	})
}

func TestInstancePausedPastItsSuspicionComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 7)
		time.Sleep(5 * time.Second)
		paused := r.processes[5]
		paused.port.Pause()
		time.Sleep(time.Minute)
		assert.Equal(t, r.seen(paused.self.ID, value.InstanceGone), 6)
		paused.port.Resume()
		time.Sleep(30 * time.Second)
		assert.NilError(t, r.settled())
		assert.Assert(t, paused.logged("SuspicionRefuted") > 0)
		assert.Equal(t, paused.logged("InstanceSuspected"), 0, "the paused instance accused others")
	})
}

func TestHalfCutInstanceIsReachedThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 7)
		a, b := r.processes[0].self.ID, r.processes[1].self.ID
		r.mesh.Set(func(from, to value.Instance) fakes.Fate {
			f := latency(from, to)
			f.LoseRequest = from.ID == a && to.ID == b || from.ID == b && to.ID == a
			return f
		})
		time.Sleep(time.Minute)
		assert.NilError(t, r.settled())
		assert.Equal(t, r.processes[0].logged("InstanceGone"), 0)
	})
}

func TestLossDelayAndDuplicatesKillNoOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 12)
		var count atomic.Int64
		r.mesh.Set(func(from, to value.Instance) fakes.Fate {
			n := count.Add(1)
			f := latency(from, to)
			f.LoseRequest = n%20 == 0
			f.Duplicate = n%7 == 0
			f.Delay *= time.Duration(1 + n%5)
			return f
		})
		time.Sleep(time.Minute)
		for _, p := range r.processes {
			assert.Equal(t, p.logged("InstanceGone"), 0)
		}
	})
}

func TestCutBetweenFailureDomainsHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 12)
		apart := func(i value.Instance) bool { return i.FailureDomain == "domain-1" }
		r.mesh.Set(func(from, to value.Instance) fakes.Fate {
			f := latency(from, to)
			f.LoseRequest = apart(from) != apart(to)
			return f
		})
		time.Sleep(5 * time.Minute)
		assert.Equal(t, r.seen("instance-1", value.InstanceGone), 9)
		assert.Equal(t, r.seen("instance-0", value.InstanceGone), 3)
		// The configuration changes meanwhile; each side has readers of its own.
		r.platform.put("document", "during the cut", 7)
		time.Sleep(15 * time.Second)
		assert.Equal(t, r.inForce(7), 12)
		r.mesh.Set(latency)
		time.Sleep(time.Minute)
		assert.NilError(t, r.settled())
	})
}

func TestLeavingInstanceIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 12)
		time.Sleep(5 * time.Second)
		leaver := r.processes[4]
		assert.NilError(t, leaver.loop.Do(t.Context(), cmds.Leave{}))
		time.Sleep(time.Second)
		assert.Equal(t, r.seen(leaver.self.ID, value.InstanceLeaving), 12)
		for _, p := range r.processes {
			assert.Assert(t, !p.loop.Snapshot().Owners().Has(leaver.self.ID))
		}
	})
}
