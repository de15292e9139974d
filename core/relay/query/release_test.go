package query_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
	"endivehitch/core/relay/query"
)

func stateInRollOut(orderedAt time.Time, members int, phase relay.Phase) relay.State {
	entries := []relay.Entry{
		serverOf("a", "v1"), serverOf("b", "v2"),
		{RollOut: &relay.RollOut{Service: "engine", Target: "v2", Within: 20 * time.Second}},
		{Progress: &relay.Progress{Service: "engine", Target: "v2", Phase: phase}},
	}
	for i := range members {
		entries = append(entries, member(relay.MemberName(rune('A'+i)), "d1"))
	}
	feed := relay.Feed{Whole: true, Revision: 100}
	for i, e := range entries {
		feed.Changes = append(feed.Changes, relay.Change{Key: string(rune('a' + i)), Revision: int64(i + 1), Entry: e})
	}
	return relay.New(relay.Member{Name: "n1"}).WithFeed(feed, orderedAt, 0)
}

// The number 0 is within every share of the traffic above zero, and 9999 only within the whole traffic.
func TestReleaseFollowsShareSessionAndPhase(t *testing.T) {
	state := stateInRollOut(now, 7, relay.PhaseUnderWay)
	early, late := now.Add(time.Second), now.Add(19*time.Second)
	assert.Equal(t, query.Release(state, "engine", place.Restriction{}, "", "", 9999, early), relay.Release("v1"))
	assert.Equal(t, query.Release(state, "engine", place.Restriction{}, "", "", 0, early), relay.Release("v2"))
	assert.Equal(t, query.Release(state, "engine", place.Restriction{}, "x", "v1", 0, early), relay.Release("v1"), "a session stays at its release during the canary")
	assert.Equal(t, query.Release(state, "engine", place.Restriction{}, "x", "v2", 9999, early), relay.Release("v2"))
	assert.Equal(t, query.Release(state, "engine", place.Restriction{}, "x", "v1", 9999, late), relay.Release("v2"), "at the end all sessions move")
	assert.Equal(t, query.Release(stateInRollOut(now, 7, relay.PhaseReverted), "engine", place.Restriction{}, "x", "v2", 0, late), relay.Release("v1"))
	assert.Equal(t, query.Release(stateInRollOut(now, 7, relay.PhaseCompleted), "engine", place.Restriction{}, "x", "v1", 9999, early), relay.Release("v2"))
	assert.Equal(t, query.Release(state, "other", place.Restriction{}, "", "", 0, early), relay.Release(""))
}

func TestTrafficShareStaysSmallDuringCanary(t *testing.T) {
	state := stateInRollOut(now, 7, relay.PhaseUnderWay)
	rollOut, _ := state.RollOut("engine")
	for at := range 10 {
		assert.Assert(t, query.TrafficShare(state, rollOut, now.Add(time.Duration(at)*time.Second)) <= 0.1)
	}
	large := stateInRollOut(now, 61, relay.PhaseUnderWay)
	assert.Assert(t, query.TrafficShare(large, rollOut, now) < query.TrafficShare(state, rollOut, now), "a large fleet needs a smaller canary share")
}

// Guards against a slow release that gets more requests than it may before it has answered enough to be judged. A bad one
// may have 15 in 100 of those that come within the time of its order, and 30 more, here 900 in all.
func TestReleaseStaysWithinItsExposureUntilItCanBeCompleted(t *testing.T) {
	state := stateInRollOut(now, 7, relay.PhaseUnderWay)
	rollOut, _ := state.RollOut("engine")
	const requests, allowed = 900, 0.15*900 + 30
	sent := 0.0
	for n := range requests {
		at := now.Add(rollOut.Order.Within * time.Duration(n) / requests)
		if phase, _ := query.Judge(state, rollOut, nil, at); phase == relay.PhaseCompleted {
			break
		}
		sent += query.TrafficShare(state, rollOut, at)
	}
	assert.Assert(t, sent <= allowed, "%.0f of %d", sent, requests)
}

func TestJudgeComparesReleaseWithBaseline(t *testing.T) {
	state := stateInRollOut(now, 7, relay.PhaseUnderWay)
	rollOut, _ := state.RollOut("engine")
	tally := func(r relay.Release, runs, failed, slow int) relay.Tally {
		return relay.Tally{Service: "engine", Release: r, Runs: runs, Failed: failed, Slow: slow}
	}
	judge := func(at time.Duration, tallies ...relay.Tally) relay.Phase {
		phase, _ := query.Judge(state, rollOut, tallies, now.Add(at))
		return phase
	}
	baseline := tally("v1", 500, 2, 5)
	assert.Equal(t, judge(time.Second, baseline, tally("v2", 10, 5, 0)), relay.PhaseReverted)
	assert.Equal(t, judge(time.Second, baseline, tally("v2", 20, 0, 9)), relay.PhaseReverted)
	assert.Equal(t, judge(time.Second, baseline, tally("v2", 3, 1, 0)), relay.PhaseUnderWay, "one failure is too few to revert a release")
	assert.Equal(t, judge(19*time.Second, baseline, tally("v2", 100, 1, 1)), relay.PhaseCompleted)
	assert.Equal(t, judge(19*time.Second, baseline, tally("v2", 5, 0, 0)), relay.PhaseUnderWay, "too few answers to complete")
	assert.Equal(t, judge(10*time.Second, baseline, tally("v2", 100, 0, 0)), relay.PhaseUnderWay, "faults may show late, so it is too early to complete")
	suspect := tally("v2", 40, 3, 0)
	assert.Equal(t, judge(10*time.Second, tally("v1", 500, 10, 5), suspect), relay.PhaseUnderWay, "too little to revert a release early")
	assert.Equal(t, judge(19*time.Second, tally("v1", 500, 10, 5), suspect), relay.PhaseReverted, "too much to complete it")
	badBaseline := tally("v1", 500, 150, 0)
	assert.Equal(t, judge(time.Second, badBaseline, tally("v2", 20, 6, 0)), relay.PhaseUnderWay, "no worse than the previous release")
	split := []relay.Tally{baseline, tally("v2", 5, 2, 0), tally("v2", 5, 2, 0), tally("v2", 4, 1, 0)}
	assert.Equal(t, judge(time.Second, split...), relay.PhaseReverted, "the tallies of all instances count together")
}

// Guards against a slow release that was completed and kept: at a canary's share of the traffic, spread over as many
// servers as the baseline has, its servers were nearly idle and answered as fast as the baseline's loaded ones.
func TestCanaryServersAreLoadedLikeTheBaseline(t *testing.T) {
	entries := []relay.Entry{{RollOut: &relay.RollOut{Service: "engine", Target: "v2", Within: 20 * time.Second}}}
	for n := range 90 {
		entries = append(entries, serverOf(relay.ServerID(fmt.Sprint("a", n)), "v1"), serverOf(relay.ServerID(fmt.Sprint("b", n)), "v2"))
	}
	feed := relay.Feed{Whole: true, Revision: 1000}
	for i, e := range entries {
		feed.Changes = append(feed.Changes, relay.Change{Key: fmt.Sprint(i), Revision: int64(i + 1), Entry: e})
	}
	state := relay.New(relay.Member{Name: "n1"}).WithFeed(feed, now, 0)
	rollOut, _ := state.RollOut("engine")
	early, late := now.Add(time.Second), now.Add(19*time.Second)
	canary := query.CanaryServers(state, "engine", "v2", early)
	share := query.TrafficShare(state, rollOut, early)
	perServer, perBaseline := share/float64(len(canary)), (1-share)/90
	assert.Assert(t, perServer > perBaseline*0.8 && perServer < perBaseline*1.25, "%d servers", len(canary))
	assert.Equal(t, len(query.CanaryServers(state, "engine", "v1", early)), 0)
	assert.Equal(t, len(query.CanaryServers(state, "engine", "v2", late)), 0)
	criteria := query.Criteria{Service: "engine", Release: "v2"}
	for range 50 {
		choice, ok := query.SelectServer(state, criteria, func(relay.ServerID) relay.Load { return relay.Load{} }, rand.New(rand.NewPCG(1, 2)), early)
		assert.Assert(t, ok && slices.Contains(canary, choice.Server.ID))
	}
	criteria.Tried = canary
	_, ok := query.SelectServer(state, criteria, func(relay.ServerID) relay.Load { return relay.Load{} }, rand.New(rand.NewPCG(1, 2)), early)
	assert.Assert(t, ok, "another server of the release takes what the canary's servers could not")
}
