package gossip_test

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

func TestConfigurationReachesEveryInstanceThroughFewReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 40)
		time.Sleep(5 * time.Second)
		fx.platform.putEntry("document", strings.Repeat("a long document ", 1000), 7)
		time.Sleep(5 * time.Second)
		assert.Equal(t, fx.countInForce(7), 40)
		fx.platform.putEntry("rollouts/big", "stage 2", 8)
		time.Sleep(5 * time.Second)
		assert.Equal(t, fx.countInForce(8), 40)
		last := fx.processes[39].loop.Snapshot()
		assert.Equal(t, last.Config.Revision, int64(7))
		progress, ok := last.Progress(testPrefix + "rollouts/big")
		assert.Assert(t, ok)
		assert.Equal(t, progress.Reason, "stage 2")
		// Two readers in each of four failure domains.
		assert.Equal(t, fx.platform.watches, 8)
		assert.Equal(t, fx.platform.reads, 8)
	})
}

func TestConfigurationArrivesAfterAllPushesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 12)
		time.Sleep(5 * time.Second)
		fx.mesh.SetDelivery(func(value.Instance, value.Instance) fakes.Delivery { return fakes.Delivery{LoseRequest: true} })
		fx.platform.putEntry("document", "new", 7)
		time.Sleep(2 * time.Second)
		fx.mesh.SetDelivery(latency)
		time.Sleep(13 * time.Second)
		assert.Equal(t, fx.countInForce(7), 12)
	})
}

func TestConfigurationReachesAllInstancesAtTenPercentLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 40)
		time.Sleep(5 * time.Second)
		var sent atomic.Int64
		fx.mesh.SetDelivery(func(from, to value.Instance) fakes.Delivery {
			d := latency(from, to)
			d.LoseRequest = sent.Add(1)%10 == 0
			return d
		})
		fx.platform.putEntry("document", "new", 7)
		time.Sleep(15 * time.Second)
		assert.Equal(t, fx.countInForce(7), 40)
	})
}

func TestStoreAnsweringFromOlderStateRevertsNoInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 7)
		fx.platform.putEntry("document", "old", 5)
		time.Sleep(5 * time.Second)
		fx.platform.putEntry("document", "new", 7)
		time.Sleep(5 * time.Second)
		// The key-value service restarts with an older state while an instance is replaced.
		fx.platform.update(func(p *fakePlatform) { p.down = true })
		fx.kill(fx.processes[6])
		fx.platform.update(func(p *fakePlatform) { p.down = false })
		fx.platform.putEntry("document", "old", 5)
		next := instance(6)
		next.ID = "instance-6b"
		fx.processes = append(fx.processes, fx.start(next))
		time.Sleep(time.Minute)
		assert.Equal(t, fx.countInForce(7), 7)
		ignored := 0
		for _, p := range fx.processes {
			assert.Equal(t, p.loop.Snapshot().Config.Document.Name, "new")
			ignored += p.countDecisions("ConfigIgnored")
		}
		assert.Assert(t, ignored > 0)
		fx.platform.putEntry("document", "newest", 9)
		time.Sleep(5 * time.Second)
		assert.Equal(t, fx.countInForce(9), 7)
	})
}

func TestNewInstancesGetConfigurationFromPeersWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 7)
		fx.platform.putEntry("document", "kept", 7)
		time.Sleep(5 * time.Second)
		fx.platform.update(func(p *fakePlatform) { p.down = true })
		// Replace every instance, one after another.
		for i := range 7 {
			fx.kill(fx.processes[0])
			next := instance(i)
			next.ID += "b"
			fx.platform.updateList(func(l []value.Instance) []value.Instance {
				l[i] = next
				return l
			})
			fx.processes = append(fx.processes, fx.start(next))
			time.Sleep(5 * time.Second)
		}
		assert.Equal(t, fx.countInForce(7), 7)
		for _, p := range fx.processes {
			assert.Equal(t, p.loop.Snapshot().Config.Document.Name, "kept")
		}
	})
}

func TestUndecodableDocumentIsRejectedAndOtherEntriesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 12)
		fx.platform.putEntry("document", "good", 7)
		time.Sleep(5 * time.Second)
		fx.platform.update(func(p *fakePlatform) { p.down = true })
		fx.platform.putEntry("document", "broken", 8)
		fx.platform.putEntry("rollouts/big", "stage 2", 9)
		fx.platform.update(func(p *fakePlatform) { p.down = false })
		time.Sleep(time.Minute)
		for _, p := range fx.processes {
			s := p.loop.Snapshot()
			assert.Equal(t, s.Config.Document.Name, "good")
			assert.Equal(t, s.Self.Digest, digest("good"))
			assert.Assert(t, !s.Self.LaggingSince.IsZero())
			assert.Equal(t, p.countDecisions("ConfigRejected"), 1)
			progress, _ := s.Progress(testPrefix + "rollouts/big")
			assert.Equal(t, progress.Reason, "stage 2")
		}
		fx.platform.putEntry("document", "good again", 10)
		time.Sleep(5 * time.Second)
		for _, p := range fx.processes {
			assert.Equal(t, p.loop.Snapshot().Config.Document.Name, "good again")
			assert.Assert(t, p.loop.Snapshot().Self.LaggingSince.IsZero())
		}
	})
}

func TestPausedInstanceCatchesUpAndNoLongerLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 12)
		time.Sleep(5 * time.Second)
		paused := fx.processes[11]
		paused.port.Pause()
		fx.platform.putEntry("document", "new", 7)
		time.Sleep(30 * time.Second)
		assert.Assert(t, fx.countInForce(7) >= 11)
		paused.port.Resume()
		time.Sleep(5 * time.Second)
		assert.Equal(t, fx.countInForce(7), 12)
		assert.Assert(t, paused.loop.Snapshot().Self.LaggingSince.IsZero())
	})
}

func TestChangeRightAfterReadersAreKilledReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 40)
		time.Sleep(5 * time.Second)
		killed := 0
		for _, p := range slices.Clone(fx.processes) {
			if query.IsConfigReader(p.loop.Snapshot(), fx.timing) {
				fx.kill(p)
				killed++
			}
		}
		assert.Equal(t, killed, 8)
		fx.platform.putEntry("document", "new", 7)
		time.Sleep(6 * time.Second)
		assert.Equal(t, fx.countInForce(7), 32)
	})
}

func TestInstalledEntryReachesAllInstancesWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 7)
		fx.platform.update(func(p *fakePlatform) { p.down = true })
		time.Sleep(5 * time.Second)
		e := plat.Entry{Key: testPrefix + "document", Value: []byte("mine"), Revision: 7}
		assert.NilError(t, fx.processes[2].gossip.Install(t.Context(), e))
		time.Sleep(2 * time.Second)
		assert.Equal(t, fx.countInForce(7), 7)
	})
}

func TestStatusQueryShowsWhichInstanceLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 40)
		fx.platform.putEntry("document", "old", 5)
		time.Sleep(5 * time.Second)
		slow := fx.processes[20]
		slow.port.Pause()
		fx.platform.putEntry("document", "new", 7)
		time.Sleep(5 * time.Second)
		reported := fx.processes[0].gossip.QueryStatus(t.Context())
		assert.Equal(t, len(reported), 40)
		for _, i := range reported {
			assert.Equal(t, i.Revision == 7, i.ID != slow.self.ID, "%s reports revision %d", i.ID, i.Revision)
		}
	})
}
