package cmds_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cmds"
)

var now = time.Unix(3000, 0)

func namesOf(effects []relay.Effect) []string {
	var names []string
	for _, e := range effects {
		names = append(names, e.(relay.RecordDecision).Event)
	}
	return names
}

func TestStoreOutageIsLoggedOnceAtStartAndEnd(t *testing.T) {
	state, effects := cmds.StoreUnreachable{Cause: "timeout"}.Apply(relay.New(relay.Member{}), now)
	assert.DeepEqual(t, namesOf(effects), []string{"StoreLost"})
	state, effects = cmds.StoreUnreachable{Cause: "timeout"}.Apply(state, now.Add(time.Second))
	assert.Equal(t, len(effects), 0)
	assert.Equal(t, state.StoreUnreachableSince, now)
	feed := relay.Feed{Whole: true, Revision: 4}
	fromPeer, effects := cmds.ApplyFeed{Feed: feed, From: "other"}.Apply(state, now.Add(time.Second))
	assert.DeepEqual(t, namesOf(effects), []string{"ImageRead"})
	assert.Assert(t, !fromPeer.StoreUnreachableSince.IsZero(), "a feed from another instance doesn't end the outage")
	state, effects = cmds.ApplyFeed{Feed: feed, From: "store", FromStore: true}.Apply(state, now.Add(2*time.Second))
	assert.DeepEqual(t, namesOf(effects), []string{"StoreRegained", "ImageRead"})
	assert.Equal(t, state.StoreRecoveredAt, now.Add(2*time.Second))
	_, effects = cmds.ApplyFeed{Feed: relay.Feed{After: 4, Revision: 4}, FromStore: true}.Apply(state, now.Add(3*time.Second))
	assert.Equal(t, len(effects), 0)
}

// An instance that was paused answers others before it has learned what was withdrawn meanwhile.
func TestFeedOfAPausedInstanceConfirmsNothing(t *testing.T) {
	late := relay.Feed{Whole: true, Revision: 4, Served: time.Minute}
	empty := relay.New(relay.Member{})
	state, effects := cmds.ApplyFeed{Feed: late}.Apply(empty, now)
	assert.Equal(t, state.Revision, int64(0), "an instance that starts must not act on it")
	assert.Equal(t, len(effects), 0)
	known, _ := cmds.ApplyFeed{Feed: relay.Feed{Whole: true, Revision: 3}, FromStore: true}.Apply(empty, now)
	state, _ = cmds.ApplyFeed{Feed: late}.Apply(known, now.Add(time.Second))
	assert.Equal(t, state.AnswerReceivedAt, now)
	late.Away = true
	state, _ = cmds.ApplyFeed{Feed: late}.Apply(empty, now)
	assert.Equal(t, state.Revision, int64(4), "what an instance knows stays in force while the store is out of its reach")
}

func TestEachNewChangeIsLoggedOnce(t *testing.T) {
	state, _ := cmds.ApplyFeed{Feed: relay.Feed{Whole: true, Revision: 1}}.Apply(relay.New(relay.Member{}), now)
	changes := []relay.Change{
		{Key: "c", Revision: 2, Entry: relay.Entry{Config: &relay.Config{Version: 7}}},
		{Key: "s", Revision: 3, Entry: relay.Entry{Server: &relay.Server{ID: "s"}}},
		{Key: "d", Revision: 4, Entry: relay.Entry{Server: &relay.Server{ID: "d", Draining: true}}},
		{Key: "x", Revision: 5, Gone: true},
		{Key: "r", Revision: 6, Entry: relay.Entry{RollOut: &relay.RollOut{Service: "a", Target: "v2"}}},
		{Key: "p", Revision: 7, Entry: relay.Entry{Progress: &relay.Progress{Service: "a", Target: "v2"}}},
		{Key: "o", Revision: 8, Entry: relay.Entry{Duty: &relay.Duty{Service: "a", Holder: "n"}}},
	}
	feed := relay.Feed{After: 1, Revision: 8, Changes: changes}
	state, effects := cmds.ApplyFeed{Feed: feed}.Apply(state, now)
	assert.DeepEqual(t, namesOf(effects), []string{
		"ConfigInstalled", "ServerReady", "ServerDraining", "EntryGone", "RollOutOrdered", "RollOutProgress", "RollOutHolder",
	})
	_, effects = cmds.ApplyFeed{Feed: feed}.Apply(state, now)
	assert.Equal(t, len(effects), 0, "known changes are not logged again")
}

// Guards against an evacuation of which the log says nothing, as it came with a full snapshot.
func TestEvacuationsAreLoggedFromSnapshotsToo(t *testing.T) {
	order := relay.Change{Key: "e", Revision: 2, Entry: relay.Entry{Evacuation: &relay.Evacuation{Domain: "z0"}}}
	state, effects := cmds.ApplyFeed{From: "a", Feed: relay.Feed{Whole: true, Revision: 3, Changes: []relay.Change{order}}}.Apply(relay.New(relay.Member{}), now)
	assert.DeepEqual(t, effects[0], relay.Effect(relay.RecordDecision{Event: "EvacuationOrdered", Subject: "z0", Revision: 2, Detail: "a"}))
	_, effects = cmds.ApplyFeed{From: "b", Feed: relay.Feed{Whole: true, Revision: 4}}.Apply(state, now.Add(7*time.Second))
	assert.DeepEqual(t, effects[0], relay.Effect(relay.RecordDecision{Event: "EvacuationEnded", Subject: "z0", Revision: 2, Detail: "b after 7s"}))
}

func TestLeavingIsLoggedOnce(t *testing.T) {
	state, effects := cmds.Leave{}.Apply(relay.New(relay.Member{Name: "n"}), now)
	assert.DeepEqual(t, namesOf(effects), []string{"Leaving"})
	_, effects = cmds.Leave{}.Apply(state, now)
	assert.Equal(t, len(effects), 0)
}

func TestServersMissingAfterGracePeriodAreLogged(t *testing.T) {
	state, _ := cmds.ApplyFeed{FromStore: true, Feed: relay.Feed{Whole: true, Revision: 2, Changes: []relay.Change{
		{Key: "s", Revision: 2, Entry: relay.Entry{Server: &relay.Server{ID: "s", Service: "a"}}},
	}}}.Apply(relay.New(relay.Member{}), now)
	state, _ = cmds.StoreUnreachable{}.Apply(state, now)
	state, _ = cmds.ApplyFeed{FromStore: true, Grace: time.Second, Feed: relay.Feed{Whole: true, Revision: 3}}.Apply(state, now)
	assert.Equal(t, len(state.Servers("a")), 1)
	state, effects := cmds.Tick{}.Apply(state, now.Add(2*time.Second))
	assert.DeepEqual(t, namesOf(effects), []string{"ServersGone"})
	assert.Equal(t, len(state.Servers("a")), 0)
}

func TestRemovalCountsImmediatelyAfterOutageOfOneInstance(t *testing.T) {
	const grace = 2 * time.Second
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	added := relay.Change{Key: "s", Revision: 2, Entry: relay.Entry{Server: &relay.Server{ID: "s", Service: "app"}}}
	removal := relay.Feed{After: 3, Revision: 4, Changes: []relay.Change{{Key: "s", Revision: 4, Gone: true}}}
	// afterOutage returns the state of an instance that could not reach the store from 1 s to 9 s,
	// and that received the reported feeds at 8 s.
	afterOutage := func(reported ...relay.Feed) relay.State {
		state, _ := cmds.ApplyFeed{Feed: relay.Feed{Whole: true, Revision: 3, Changes: []relay.Change{added}}, FromStore: true, Grace: grace}.Apply(relay.New(relay.Member{}), at(0))
		state, _ = cmds.StoreUnreachable{Cause: "timeout"}.Apply(state, at(1))
		for _, feed := range reported {
			state, _ = cmds.ApplyFeed{Feed: feed, Grace: grace}.Apply(state, at(8))
		}
		state, _ = cmds.ApplyFeed{Feed: relay.Feed{After: 3, Revision: 3}, FromStore: true, Grace: grace}.Apply(state, at(9))
		state, _ = cmds.ApplyFeed{Feed: removal, FromStore: true, Grace: grace}.Apply(state, at(9.5))
		return state
	}
	answered := func(age time.Duration) relay.Feed { return relay.Feed{After: 3, Revision: 3, Served: age} }
	assert.Equal(t, len(afterOutage(answered(time.Second)).Servers("app")), 0, "the store kept serving other instances")
	assert.Equal(t, len(afterOutage().Servers("app")), 1, "the server may not have reached the store either")
	assert.Equal(t, len(afterOutage(answered(7500*time.Millisecond)).Servers("app")), 1, "the store last answered others before this outage")
	assert.Equal(t, len(afterOutage(answered(5*time.Second)).Servers("app")), 1, "the store's last answer to others is too old")
}

// Guards against a log that says a server is ready again, while its outdated entry is not used.
func TestOutdatedEntriesAreLogged(t *testing.T) {
	entry := func(sequence int64) relay.Feed {
		server := &relay.Server{ID: "s", Service: "a", Born: now, Sequence: sequence}
		return relay.Feed{Changes: []relay.Change{{Key: "s", Entry: relay.Entry{Server: server}}}}
	}
	first, late := entry(8), entry(5)
	first.Whole, first.Revision, first.Changes[0].Revision = true, 2, 2
	late.After, late.Revision, late.Changes[0].Revision = 2, 3, 3
	state, _ := cmds.ApplyFeed{Feed: first}.Apply(relay.New(relay.Member{}), now)
	state, effects := cmds.ApplyFeed{Feed: late}.Apply(state, now)
	assert.DeepEqual(t, namesOf(effects), []string{"EntryOutdated"})
	_, effects = cmds.Tick{}.Apply(state, now.Add(time.Minute))
	assert.DeepEqual(t, namesOf(effects), []string{"OutdatedEntriesUsed"})
}
