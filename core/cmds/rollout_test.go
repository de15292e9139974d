package cmds_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/loop"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	oldKey  = value.VersionKey("sprog/old")
	newKey  = value.VersionKey("sprog/new")
	rollOut = value.RollOutName("sprog-new")
)

var testTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

type command = loop.Command[state.State, state.Effect]

func document() value.Document {
	return value.Document{
		ClientAccounts: []value.ClientAccount{
			{Name: "gates", Versions: []value.VersionKey{oldKey, newKey}, Kinds: []value.KindName{"quote"}},
			{Name: "doors", Versions: []value.VersionKey{oldKey}, Kinds: []value.KindName{"quote"}},
		},
		Models: []value.Model{{Name: "sprog", Versions: []value.Version{{Name: "old", Quality: 0.95}, {Name: "new", Quality: 0.95}}}},
		Kinds:  []value.Kind{{Name: "quote", Model: "sprog", QualityTarget: 0.9, Idempotent: true}},
		RollOuts: []value.RollOut{{
			Name: rollOut, Model: "sprog", From: "old", To: "new", MaxErrorRate: 0.02, MinQuality: 0.9,
			Stages: []value.Stage{{Percent: 10, MinRatings: 5, MaxTime: 6 * time.Hour}, {Percent: 50, MinTime: time.Hour}},
		}},
	}
}

func install(s state.State, d value.Document, revision int64) state.State {
	next, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: d, Revision: revision}}.Apply(s, testTime)
	return next
}

func initialState() state.State {
	return install(state.New(value.Instance{ID: "a"}), document(), 1)
}

func applyAll(s state.State, now time.Time, list ...command) (state.State, []state.Effect) {
	var all []state.Effect
	for _, c := range list {
		var effects []state.Effect
		s, effects = c.Apply(s, now)
		all = append(all, effects...)
	}
	return s, all
}

func ratings(good, bad int) cmds.ObserveRatings {
	var list []value.Rating
	for i := range good + bad {
		list = append(list, value.Rating{Kind: "quote", Version: newKey, Accepted: i < good, At: testTime})
	}
	return cmds.ObserveRatings{Ratings: list}
}

// newVersionSessions returns how many of 1,000 sessions the new version receives.
func newVersionSessions(t *testing.T, s state.State, account value.AccountName, pin value.VersionKey) int {
	t.Helper()
	n := 0
	for i := range 1000 {
		r := value.Request{Account: account, Kind: "quote", Session: value.SessionID(fmt.Sprint(i)), Pinned: pin, Deadline: testTime.Add(time.Hour)}
		a, err := query.Admit(s, r, testTime)
		assert.NilError(t, err)
		p, err := query.ChoosePlan(s, a, r, testTime)
		assert.NilError(t, err)
		if p.Last() == newKey {
			n++
		}
	}
	return n
}

func phaseOf(s state.State) value.Phase {
	p, _ := s.Progress(rollOut)
	return p.Phase
}

func TestRollOutMovesSessionsByStageUntilDone(t *testing.T) {
	s := initialState()
	assert.Equal(t, newVersionSessions(t, s, "gates", ""), 0, "a planned roll-out received sessions")
	s, effects := applyAll(s, testTime, cmds.StartRollOut{Name: rollOut})
	assert.Equal(t, len(effects), 2)
	tenth := newVersionSessions(t, s, "gates", "")
	assert.Assert(t, tenth > 60 && tenth < 140, "%d", tenth)
	assert.Equal(t, newVersionSessions(t, s, "doors", ""), 0, "a client account got a version that it is not allowed")
	assert.Equal(t, newVersionSessions(t, s, "gates", newKey), 1000, "a session lost its version")

	s, _ = applyAll(s, testTime, ratings(4, 0), cmds.AdvanceRollOut{Name: rollOut})
	assert.Equal(t, newVersionSessions(t, s, "gates", ""), tenth, "the roll-out advanced without enough ratings")
	s, _ = applyAll(s, testTime, ratings(1, 0), cmds.AdvanceRollOut{Name: rollOut}, cmds.AdvanceRollOut{Name: rollOut})
	half := newVersionSessions(t, s, "gates", "")
	assert.Assert(t, half > 420 && half < 580, "%d", half)
	assert.Equal(t, len(query.DueSteps(s, testTime)), 0)

	later := testTime.Add(time.Hour)
	assert.DeepEqual(t, query.DueSteps(s, later), []query.DueStep{{RollOut: rollOut, Stage: 1}})
	s, _ = applyAll(s, later, cmds.AdvanceRollOut{Name: rollOut, Stage: 1})
	assert.Equal(t, phaseOf(s), value.PhaseDone)
	assert.Equal(t, newVersionSessions(t, s, "gates", ""), 1000)
	assert.Equal(t, newVersionSessions(t, s, "gates", oldKey), 0, "a session pinned to the old version lost it")
	assert.Equal(t, newVersionSessions(t, s, "doors", ""), 0)
}

func TestFailedAttemptsWithdrawTheVersion(t *testing.T) {
	s, _ := applyAll(initialState(), testTime, cmds.StartRollOut{Name: rollOut})
	s, effects := applyAll(s, testTime, cmds.ObserveAttempts{Counts: []value.AttemptCounts{{Version: newKey, Total: 40, Failed: 12}}})
	assert.Equal(t, phaseOf(s), value.PhaseWithdrawn)
	assert.Equal(t, newVersionSessions(t, s, "gates", ""), 0)
	assert.Equal(t, newVersionSessions(t, s, "gates", newKey), 0, "a withdrawn version got new work of its session")
	assert.Equal(t, effects[0], state.RecordDecision{Event: "VersionWithdrawn", Subject: string(newKey), Reason: value.ReasonErrorRate})
	_, again := applyAll(s, testTime, cmds.ObserveAttempts{Counts: []value.AttemptCounts{{Version: newKey, Total: 40, Failed: 12}}})
	assert.Equal(t, len(again), 0)
}

func TestBadRatingsWithdrawTheVersionAfterTheRollOutIsDone(t *testing.T) {
	s, _ := applyAll(initialState(), testTime, cmds.StartRollOut{Name: rollOut})
	s, _ = applyAll(s, testTime, cmds.AdvanceRollOut{Name: rollOut, Forced: true}, cmds.AdvanceRollOut{Name: rollOut, Stage: 1, Forced: true})
	assert.Equal(t, phaseOf(s), value.PhaseDone)
	s, _ = applyAll(s, testTime, ratings(10, 40))
	assert.Equal(t, phaseOf(s), value.PhaseWithdrawn)
	assert.Equal(t, newVersionSessions(t, s, "gates", ""), 0, "the withdrawn version still received sessions")
}

func TestWithdrawnVersionStaysWithdrawn(t *testing.T) {
	s, _ := applyAll(initialState(), testTime, cmds.StartRollOut{Name: rollOut})
	staged, _ := s.Progress(rollOut)
	s, _ = applyAll(s, testTime, cmds.WithdrawVersion{Version: newKey, Reason: value.ReasonOperator})
	newer := staged.WithStage(1, testTime).WithStage(1, testTime).WithStage(1, testTime)
	s, _ = applyAll(s, testTime, cmds.InstallProgress{Progress: newer}, cmds.StartRollOut{Name: rollOut})
	assert.Equal(t, phaseOf(s), value.PhaseWithdrawn)
	s = install(s, document(), 2)
	assert.Equal(t, newVersionSessions(t, s, "gates", newKey), 0, "a new document brought a withdrawn version back")
}

func TestOlderProgressIsIgnored(t *testing.T) {
	s, _ := applyAll(initialState(), testTime, cmds.StartRollOut{Name: rollOut})
	old, _ := s.Progress(rollOut)
	s, _ = applyAll(s, testTime, cmds.AdvanceRollOut{Name: rollOut, Forced: true})
	s, effects := applyAll(s, testTime, cmds.InstallProgress{Progress: old})
	current, _ := s.Progress(rollOut)
	assert.Equal(t, current.Stage, 1)
	assert.Equal(t, len(effects), 0)
}

func TestWithdrawalByDocumentEndsTheRollOut(t *testing.T) {
	s, _ := applyAll(initialState(), testTime, cmds.StartRollOut{Name: rollOut})
	d := document()
	d.Models[0].Versions[1] = d.Models[0].Versions[1].WithWithdrawn(true)
	s = install(s, d, 2)
	assert.Equal(t, newVersionSessions(t, s, "gates", newKey), 0)
	due := query.DueSteps(s, testTime)
	assert.Equal(t, due[0].Withdraw, newKey)
	s, _ = applyAll(s, testTime, cmds.WithdrawVersion{Version: due[0].Withdraw, Reason: due[0].Reason})
	assert.Equal(t, phaseOf(s), value.PhaseWithdrawn)
}

func TestNewInstanceContinuesRollOutFromStoredPosition(t *testing.T) {
	s, _ := applyAll(initialState(), testTime, cmds.StartRollOut{Name: rollOut})
	p, _ := s.Progress(rollOut)
	// A new instance knows only what the key-value service stores.
	other, _ := applyAll(initialState(), testTime, cmds.InstallProgress{Progress: p})
	assert.Equal(t, newVersionSessions(t, other, "gates", ""), newVersionSessions(t, s, "gates", ""))
	resumed, _ := applyAll(other, testTime, ratings(5, 0))
	assert.Equal(t, query.DueSteps(resumed, testTime)[0].Withdraw, value.VersionKey(""))
	due := query.DueSteps(other, testTime.Add(7*time.Hour))
	assert.Equal(t, due[0].Reason, value.ReasonOverdue)

	d := document()
	d.RollOuts = nil
	dropped := install(other, d, 2)
	assert.Equal(t, newVersionSessions(t, dropped, "gates", ""), 0, "a dropped plan exposed its version to all")
}

func TestWithdrawalByAnotherInstanceIsNotStoredAgain(t *testing.T) {
	s, _ := applyAll(initialState(), testTime, cmds.StartRollOut{Name: rollOut})
	s, effects := applyAll(s, testTime, cmds.InstallWithdrawal{Withdrawal: value.Withdrawal{Version: newKey, Reason: value.ReasonQuality}})
	assert.Equal(t, phaseOf(s), value.PhaseWithdrawn)
	for _, e := range effects {
		_, isLog := e.(state.RecordDecision)
		assert.Assert(t, isLog, "an installed withdrawal must not be stored again: %T", e)
	}
}

func TestOnlyTheOwnerOfTheHashSlotWithdraws(t *testing.T) {
	for _, self := range []value.InstanceID{"a", "b"} {
		s := install(state.New(value.Instance{ID: self}), document(), 1)
		for _, id := range []value.InstanceID{"a", "b"} {
			s = s.WithInstance(value.Instance{ID: id, State: value.InstanceLive})
		}
		s, _ = applyAll(s, start, cmds.StartRollOut{Name: rollOut}, ratings(10, 40))
		owner, ok := query.Owner(s, query.Slot(string(newKey)))
		assert.Assert(t, ok)
		assert.Equal(t, s.IsWithdrawn(newKey), owner.ID == self)
	}
}
