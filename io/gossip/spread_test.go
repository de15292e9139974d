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
		r := newRig(t, 40)
		time.Sleep(5 * time.Second)
		r.platform.put("document", strings.Repeat("a long document ", 1000), 7)
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.inForce(7), 40)
		r.platform.put("rollouts/big", "stage 2", 8)
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.inForce(8), 40)
		last := r.processes[39].loop.Snapshot()
		assert.Equal(t, last.Config.Revision, int64(7))
		progress, ok := last.Progress(testPrefix + "rollouts/big")
		assert.Assert(t, ok)
		assert.Equal(t, progress.Reason, "stage 2")
		// Two readers in each of four failure domains.
		assert.Equal(t, r.platform.watches, 8)
		assert.Equal(t, r.platform.reads, 8)
	})
}

func TestGapIsRepairedAfterAllPushesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 12)
		time.Sleep(5 * time.Second)
		r.mesh.Set(func(value.Instance, value.Instance) fakes.Fate { return fakes.Fate{LoseRequest: true} })
		r.platform.put("document", "new", 7)
		time.Sleep(2 * time.Second)
		r.mesh.Set(latency)
		time.Sleep(13 * time.Second)
		assert.Equal(t, r.inForce(7), 12)
	})
}

func TestLossOfOneCallInTenKeepsTheGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 40)
		time.Sleep(5 * time.Second)
		var sent atomic.Int64
		r.mesh.Set(func(from, to value.Instance) fakes.Fate {
			f := latency(from, to)
			f.LoseRequest = sent.Add(1)%10 == 0
			return f
		})
		r.platform.put("document", "new", 7)
		time.Sleep(15 * time.Second)
		assert.Equal(t, r.inForce(7), 40)
	})
}

func TestServiceThatAnswersFromAnOlderStateTurnsNoOneBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 7)
		r.platform.put("document", "old", 5)
		time.Sleep(5 * time.Second)
		r.platform.put("document", "new", 7)
		time.Sleep(5 * time.Second)
		// The service restarts with an older state while an instance is replaced.
		r.platform.set(func(p *platform) { p.down = true })
		r.kill(r.processes[6])
		r.platform.set(func(p *platform) { p.down = false })
		r.platform.put("document", "old", 5)
		next := instance(6)
		next.ID = "instance-6b"
		r.processes = append(r.processes, r.start(next))
		time.Sleep(time.Minute)
		assert.Equal(t, r.inForce(7), 7)
		ignored := 0
		for _, p := range r.processes {
			assert.Equal(t, p.loop.Snapshot().Config.Document.Name, "new")
			ignored += p.logged("ConfigIgnored")
		}
		assert.Assert(t, ignored > 0)
		r.platform.put("document", "newest", 9)
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.inForce(9), 7)
	})
}

func TestNewInstancesStartFromTheirPeersWhileTheServiceIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 7)
		r.platform.put("document", "kept", 7)
		time.Sleep(5 * time.Second)
		r.platform.set(func(p *platform) { p.down = true })
		// Every instance is replaced, one after another.
		for i := range 7 {
			r.kill(r.processes[0])
			next := instance(i)
			next.ID += "b"
			r.platform.list(func(l []value.Instance) []value.Instance {
				l[i] = next
				return l
			})
			r.processes = append(r.processes, r.start(next))
			time.Sleep(5 * time.Second)
		}
		assert.Equal(t, r.inForce(7), 7)
		for _, p := range r.processes {
			assert.Equal(t, p.loop.Snapshot().Config.Document.Name, "kept")
		}
	})
}

func TestUndecodableDocumentLeavesTheOldOneInForceButHoldsNothingElseUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 12)
		r.platform.put("document", "good", 7)
		time.Sleep(5 * time.Second)
		r.platform.set(func(p *platform) { p.down = true })
		r.platform.put("document", "broken", 8)
		r.platform.put("rollouts/big", "stage 2", 9)
		r.platform.set(func(p *platform) { p.down = false })
		time.Sleep(time.Minute)
		for _, p := range r.processes {
			s := p.loop.Snapshot()
			assert.Equal(t, s.Config.Document.Name, "good")
			assert.Equal(t, s.Self.Digest, digest("good"))
			assert.Assert(t, !s.Self.LaggingSince.IsZero())
			assert.Equal(t, p.logged("ConfigRejected"), 1)
			progress, _ := s.Progress(testPrefix + "rollouts/big")
			assert.Equal(t, progress.Reason, "stage 2")
		}
		r.platform.put("document", "good again", 10)
		time.Sleep(5 * time.Second)
		for _, p := range r.processes {
			assert.Equal(t, p.loop.Snapshot().Config.Document.Name, "good again")
			assert.Assert(t, p.loop.Snapshot().Self.LaggingSince.IsZero())
		}
	})
}

func TestPausedInstanceCatchesUpAndSaysForHowLongItLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 12)
		time.Sleep(5 * time.Second)
		paused := r.processes[11]
		paused.port.Pause()
		r.platform.put("document", "new", 7)
		time.Sleep(30 * time.Second)
		assert.Assert(t, r.inForce(7) >= 11)
		paused.port.Resume()
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.inForce(7), 12)
		assert.Assert(t, paused.loop.Snapshot().Self.LaggingSince.IsZero())
	})
}

func TestReadersThatDieAreReplacedInTimeForAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 40)
		time.Sleep(5 * time.Second)
		killed := 0
		for _, p := range slices.Clone(r.processes) {
			if query.IsConfigReader(p.loop.Snapshot(), r.timing) {
				r.kill(p)
				killed++
			}
		}
		assert.Equal(t, killed, 8)
		r.platform.put("document", "new", 7)
		time.Sleep(6 * time.Second)
		assert.Equal(t, r.inForce(7), 32)
	})
}

func TestOfferedEntrySpreadsFromTheInstanceThatWroteIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 7)
		r.platform.set(func(p *platform) { p.down = true })
		time.Sleep(5 * time.Second)
		e := plat.Entry{Key: testPrefix + "document", Value: []byte("mine"), Revision: 7}
		assert.NilError(t, r.processes[2].gossip.Offer(t.Context(), e))
		time.Sleep(2 * time.Second)
		assert.Equal(t, r.inForce(7), 7)
	})
}

func TestSurveyTellsWhichInstanceLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 40)
		r.platform.put("document", "old", 5)
		time.Sleep(5 * time.Second)
		slow := r.processes[20]
		slow.port.Pause()
		r.platform.put("document", "new", 7)
		time.Sleep(5 * time.Second)
		survey := r.processes[0].gossip.Survey(t.Context())
		assert.Equal(t, len(survey), 40)
		for _, i := range survey {
			assert.Equal(t, i.Revision == 7, i.ID != slow.self.ID, "%s has %d", i.ID, i.Revision)
		}
	})
}
