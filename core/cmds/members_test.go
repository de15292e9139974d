package cmds_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

var (
	start  = time.Unix(1_000_000, 0)
	timing = fleet.DefaultTiming()
)

func live(id value.InstanceID) value.Instance {
	return value.Instance{ID: id, FailureDomain: "guj-a", State: value.InstanceLive}
}

func stateWithSuspect(t *testing.T) state.State {
	t.Helper()
	s := state.New(live("a")).WithInstance(live("b"))
	s, effects := cmds.Suspect{ID: "b"}.Apply(s, start)
	assert.Equal(t, len(effects), 1)
	s, _ = cmds.Tick{Timing: timing}.Apply(s, start)
	return s
}

func stateOf(s state.State, id value.InstanceID) value.InstanceState {
	i, _ := s.Instance(id)
	return i.State
}

func TestSuspectBecomesGoneAndIsThenRemoved(t *testing.T) {
	s := stateWithSuspect(t)
	now := start
	for range 3 {
		now = now.Add(timing.Period)
		s, _ = cmds.Tick{Timing: timing}.Apply(s, now)
		assert.Equal(t, stateOf(s, "b"), value.InstanceSuspected)
	}
	s, _ = cmds.Tick{Timing: timing}.Apply(s, now.Add(timing.Period))
	assert.Equal(t, stateOf(s, "b"), value.InstanceGone)
	s, _ = cmds.Tick{Timing: timing}.Apply(s, now.Add(timing.Retention+time.Minute))
	_, known := s.Instance("b")
	assert.Assert(t, !known)
}

func TestPauseOfTheInstanceRestartsSuspicionTimeouts(t *testing.T) {
	s := stateWithSuspect(t)
	resumed := start.Add(time.Hour)
	s, _ = cmds.Tick{Timing: timing}.Apply(s, resumed)
	assert.Equal(t, stateOf(s, "b"), value.InstanceSuspected)
	s, _ = cmds.Tick{Timing: timing}.Apply(s, resumed.Add(timing.Period))
	assert.Equal(t, stateOf(s, "b"), value.InstanceSuspected)
}

func TestLeavingInstanceIsRemovedOnlyOnceUnlisted(t *testing.T) {
	leaving := live("b").WithState(value.InstanceLeaving)
	s, _ := cmds.ReceiveMessage{From: leaving}.Apply(state.New(live("a")), start)
	s, _ = cmds.SyncInstances{Instances: []value.Instance{leaving}}.Apply(s, start)
	late := start.Add(2 * timing.Retention)
	s, _ = cmds.Tick{Timing: timing}.Apply(s, late)
	assert.Equal(t, stateOf(s, "b"), value.InstanceLeaving)
	s, _ = cmds.SyncInstances{}.Apply(s, late)
	s, _ = cmds.Tick{Timing: timing}.Apply(s, late)
	assert.Equal(t, stateOf(s, "b"), value.InstanceGone)
	s, _ = cmds.Tick{Timing: timing}.Apply(s, late.Add(timing.Retention))
	_, known := s.Instance("b")
	assert.Assert(t, !known)
}

func TestOnlyHigherIncarnationRefutesSuspicion(t *testing.T) {
	s := stateWithSuspect(t)
	s, _ = cmds.ReceiveMessage{From: live("c"), Updates: []value.Instance{live("b")}}.Apply(s, start)
	assert.Equal(t, stateOf(s, "b"), value.InstanceSuspected)
	s, _ = cmds.ReceiveMessage{From: live("b").WithIncarnation(1)}.Apply(s, start)
	assert.Equal(t, stateOf(s, "b"), value.InstanceLive)
	// An update about the old incarnation arrives late, and so does a failed probe of it.
	s, _ = cmds.ReceiveMessage{From: live("c"), Updates: []value.Instance{live("b").WithState(value.InstanceGone)}}.Apply(s, start)
	s, _ = cmds.Suspect{ID: "b"}.Apply(s, start)
	assert.Equal(t, stateOf(s, "b"), value.InstanceLive)
}

func TestInstanceReportedGoneRaisesItsIncarnationOnce(t *testing.T) {
	s := state.New(live("a"))
	report := cmds.ReceiveMessage{From: live("b"), Updates: []value.Instance{live("a").WithState(value.InstanceGone).WithIncarnation(4)}}
	for range 3 {
		s, _ = report.Apply(s, start)
	}
	assert.Equal(t, s.Self.Incarnation, int64(5))
	assert.Equal(t, s.Self.State, value.InstanceLive)
}

func TestLeavingInstanceReportedGoneStaysLeaving(t *testing.T) {
	s, _ := cmds.Leave{}.Apply(state.New(live("a")), start)
	s, _ = cmds.ReceiveMessage{From: live("b"), Updates: []value.Instance{live("a").WithState(value.InstanceGone).WithIncarnation(1)}}.Apply(s, start)
	assert.Equal(t, s.Self.State, value.InstanceLeaving)
	assert.Equal(t, s.Self.Incarnation, int64(2))
}

func TestInstanceListAddsInstancesAndMarksLeavingButRevivesNone(t *testing.T) {
	s := stateWithSuspect(t)
	s, _ = cmds.Tick{Timing: timing}.Apply(s, start.Add(timing.Period))
	s, _ = cmds.MarkReplaced{ID: "b"}.Apply(s, start)
	s, _ = cmds.SyncInstances{Instances: []value.Instance{live("a"), live("b"), live("c")}}.Apply(s, start)
	assert.Equal(t, stateOf(s, "b"), value.InstanceGone)
	assert.Equal(t, stateOf(s, "c"), value.InstanceLive)
	leaving := live("c").WithState(value.InstanceLeaving)
	s, _ = cmds.SyncInstances{Instances: []value.Instance{leaving}}.Apply(s, start)
	assert.Equal(t, stateOf(s, "c"), value.InstanceLeaving)
	b, _ := s.Instance("b")
	assert.Assert(t, !b.Listed)
}

func TestUpdateIsNoLongerPendingAfterItsMessages(t *testing.T) {
	s := stateWithSuspect(t)
	sends, ok := s.PendingUpdates().Get("b")
	assert.Assert(t, ok)
	for range sends {
		s, _ = cmds.CountSentUpdates{IDs: []value.InstanceID{"b"}}.Apply(s, start)
	}
	assert.Equal(t, s.PendingUpdates().Len(), 0)
}

func TestOlderRevisionIsIgnoredAndLagCountsFromTheFirstReport(t *testing.T) {
	s := state.New(live("a"))
	document := value.AcceptedDocument{Digest: "d7", Revision: 7}
	s, effects := cmds.InstallRevision{Revision: 7, Accepted: document}.Apply(s, start)
	assert.Equal(t, len(effects), 3, "peers must be notified once")
	assert.Equal(t, effects[2].(state.AnnounceConfig).Config.Digest, "d7")
	s, _ = cmds.InstallRevision{Revision: 6, Accepted: value.AcceptedDocument{Digest: "d6", Revision: 6}}.Apply(s, start)
	assert.Equal(t, s.Config.Digest, "d7")
	assert.Equal(t, s.Self.Revision, int64(7))
	s, effects = cmds.ReceiveMessage{From: live("b").WithRevision(9)}.Apply(s, start)
	assert.Equal(t, effects[len(effects)-1].(state.FetchConfig).Revision, int64(9))
	s, _ = cmds.ReceiveMessage{From: live("b").WithRevision(10)}.Apply(s, start.Add(time.Second))
	assert.Equal(t, s.Self.LaggingSince, start)
	s, _ = cmds.InstallRevision{Revision: 10, RollOuts: []value.Progress{{Name: "r", Stage: 2}}}.Apply(s, start)
	assert.Assert(t, s.Self.LaggingSince.IsZero())
	assert.Equal(t, s.Config.Digest, "d7")
	progress, _ := s.Progress("r")
	assert.Equal(t, progress.Stage, 2)
}
