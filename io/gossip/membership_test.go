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

func TestHealthyFleetSuspectsNoInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 7)
		time.Sleep(2 * time.Minute)
		assert.NilError(t, fx.checkAllLive())
		for _, p := range fx.processes {
			assert.Equal(t, p.countDecisions("InstanceSuspected"), 0)
		}
	})
}

func TestKilledInstanceIsRemovedAndSuccessorAtSameAddressJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 7)
		killed := fx.processes[3]
		fx.kill(killed)
		time.Sleep(20 * time.Second)
		assert.Equal(t, fx.countInState(killed.self.ID, value.InstanceGone), 6)
		slots := 0
		for _, p := range fx.processes {
			slots += len(query.OwnedSlots(p.loop.Snapshot()))
		}
		assert.Equal(t, slots, 256)
		// The successor has the same address and is not on the instance list yet.
		next := killed.self
		next.ID = "instance-3b"
		fx.processes = append(fx.processes, fx.start(next))
		time.Sleep(10 * time.Second)
		assert.NilError(t, fx.checkAllLive())
	})
}

func TestInstanceReplacedAtOnceIsDistinguishedFromSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 7)
		old := fx.processes[2]
		fx.kill(old)
		next := old.self
		next.ID = "instance-2b"
		fx.processes = append(fx.processes, fx.start(next))
		time.Sleep(15 * time.Second)
		assert.NilError(t, fx.checkAllLive())
		assert.Equal(t, fx.countInState(old.self.ID, value.InstanceGone), 7)
	})
}

func TestInstancePausedBeyondSuspicionTimeoutRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 7)
		time.Sleep(5 * time.Second)
		paused := fx.processes[5]
		paused.port.Pause()
		time.Sleep(time.Minute)
		assert.Equal(t, fx.countInState(paused.self.ID, value.InstanceGone), 6)
		paused.port.Resume()
		time.Sleep(30 * time.Second)
		assert.NilError(t, fx.checkAllLive())
		assert.Assert(t, paused.countDecisions("SuspicionRefuted") > 0)
		assert.Equal(t, paused.countDecisions("InstanceSuspected"), 0, "the paused instance suspected others")
	})
}

func TestIndirectProbesKeepInstanceLiveWhenOneLinkIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 7)
		a, b := fx.processes[0].self.ID, fx.processes[1].self.ID
		fx.mesh.SetDelivery(func(from, to value.Instance) fakes.Delivery {
			d := latency(from, to)
			d.LoseRequest = from.ID == a && to.ID == b || from.ID == b && to.ID == a
			return d
		})
		time.Sleep(time.Minute)
		assert.NilError(t, fx.checkAllLive())
		assert.Equal(t, fx.processes[0].countDecisions("InstanceGone"), 0)
	})
}

func TestMessageLossDelayAndDuplicationRemoveNoInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 12)
		var count atomic.Int64
		fx.mesh.SetDelivery(func(from, to value.Instance) fakes.Delivery {
			n := count.Add(1)
			d := latency(from, to)
			d.LoseRequest = n%20 == 0
			d.Duplicate = n%7 == 0
			d.Delay *= time.Duration(1 + n%5)
			return d
		})
		time.Sleep(time.Minute)
		for _, p := range fx.processes {
			assert.Equal(t, p.countDecisions("InstanceGone"), 0)
		}
	})
}

func TestPartitionBetweenFailureDomainsHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 12)
		isCutOff := func(i value.Instance) bool { return i.FailureDomain == "domain-1" }
		fx.mesh.SetDelivery(func(from, to value.Instance) fakes.Delivery {
			d := latency(from, to)
			d.LoseRequest = isCutOff(from) != isCutOff(to)
			return d
		})
		time.Sleep(5 * time.Minute)
		assert.Equal(t, fx.countInState("instance-1", value.InstanceGone), 9)
		assert.Equal(t, fx.countInState("instance-0", value.InstanceGone), 3)
		// A change of the configuration during the partition reaches both sides, because each has readers
		// of its own.
		fx.platform.putEntry("document", "during the cut", 7)
		time.Sleep(15 * time.Second)
		assert.Equal(t, fx.countInForce(7), 12)
		fx.mesh.SetDelivery(latency)
		time.Sleep(time.Minute)
		assert.NilError(t, fx.checkAllLive())
	})
}

func TestDepartureNoticeReachesAllInstancesWithinOneSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 12)
		time.Sleep(5 * time.Second)
		leaver := fx.processes[4]
		assert.NilError(t, leaver.loop.Do(t.Context(), cmds.Leave{}))
		time.Sleep(time.Second)
		assert.Equal(t, fx.countInState(leaver.self.ID, value.InstanceLeaving), 12)
		for _, p := range fx.processes {
			assert.Assert(t, !p.loop.Snapshot().Owners().Has(leaver.self.ID))
		}
	})
}

// Guards against an instance that ends before it has told the others, which then send to it until they suspect it.
func TestInstanceThatEndsAtOnceHasSentItsDepartureNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 12)
		time.Sleep(5 * time.Second)
		leaver := fx.processes[4]
		assert.NilError(t, leaver.loop.Do(t.Context(), cmds.Leave{}))
		leaver.gossip.AwaitDepartureNotice(t.Context())
		leaver.stop()
		assert.Equal(t, fx.countInState(leaver.self.ID, value.InstanceLeaving), 12)
	})
}

// Guards against a stop that waits for instances that don't answer.
func TestDepartureNoticeIsNotAwaitedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		started := time.Now()
		fx.processes[0].gossip.AwaitDepartureNotice(t.Context())
		assert.Assert(t, time.Since(started) <= time.Second)
	})
}
