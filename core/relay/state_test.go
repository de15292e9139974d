package relay_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func serverAdded(id relay.ServerID, revision int64) relay.Change {
	return relay.Change{Key: "s/" + string(id), Revision: revision, Entry: relay.Entry{
		Server: &relay.Server{ID: id, Service: "engine", Address: "10.0.0.1:1", Release: "v1", Slots: 4},
	}}
}

func config(version, revision int64, routes ...relay.Route) relay.Change {
	return relay.Change{Key: "config", Revision: revision, Entry: relay.Entry{Config: &relay.Config{Version: version, Routes: routes}}}
}

func removal(key string, revision int64) relay.Change {
	return relay.Change{Key: key, Revision: revision, Gone: true}
}

func fullFeed(revision int64, changes ...relay.Change) relay.Feed {
	return relay.Feed{Whole: true, Revision: revision, Changes: changes}
}

func feedAfter(previous, revision int64, changes ...relay.Change) relay.Feed {
	return relay.Feed{After: previous, Revision: revision, Changes: changes}
}

func TestRouteWithLongestPrefixMatches(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, config(1, 5,
		relay.Route{Name: "short", Host: "h", Prefix: "/a/"},
		relay.Route{Name: "long", Host: "h", Prefix: "/a/b/"})), start, grace)
	route, ok := state.Route("h", "/a/b/c")
	assert.Assert(t, ok)
	assert.Equal(t, route.Name, relay.RouteName("long"))
	route, _ = state.Route("h", "/a/c")
	assert.Equal(t, route.Name, relay.RouteName("short"))
	_, ok = state.Route("other", "/a/c")
	assert.Assert(t, !ok)
}

func TestOlderOrDisconnectedFeedChangesNothing(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(9, config(2, 9)), start, grace)
	state = state.WithFeed(fullFeed(7, config(1, 7)), start, grace)
	assert.Equal(t, state.Config.Version, int64(2))
	state = state.WithFeed(feedAfter(20, 21, config(3, 21)), start, grace)
	assert.Equal(t, state.Config.Version, int64(2), "a feed that leaves a gap after the state is ignored")
	state = state.WithFeed(feedAfter(8, 12, config(1, 9), serverAdded("a", 12)), start, grace)
	assert.Equal(t, state.Config.Version, int64(2))
	assert.Equal(t, len(state.Servers("engine")), 1)
}

func TestNewerEntryFromLaterPageIsNotOverwritten(t *testing.T) {
	// The first page of the snapshot was read at revision 9, a later page at revision 12.
	state := relay.New(relay.Member{}).WithFeed(fullFeed(9, config(3, 12)), start, grace)
	state = state.WithFeed(feedAfter(9, 10, config(2, 10)), start, grace)
	assert.Equal(t, state.Config.Version, int64(3))
	state = state.WithFeed(feedAfter(10, 11, removal("config", 11)), start, grace)
	state = state.WithFeed(feedAfter(11, 12, config(3, 12)), start, grace)
	assert.Equal(t, state.Config.Version, int64(3))
}

func TestConfigurationStaysInForceAfterItsEntryIsRemoved(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, config(1, 5)), start, grace)
	state = state.WithFeed(feedAfter(5, 6, removal("config", 6)), start, grace)
	assert.Equal(t, state.Config.Version, int64(1))
}

func TestRemovedServerIsDroppedImmediately(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, serverAdded("a", 5)), start, grace)
	state = state.WithFeed(feedAfter(5, 6, removal("s/a", 6)), start, grace)
	assert.Equal(t, len(state.Servers("engine")), 0)
}

func TestServersRemovedByStoreOutageHaveGracePeriod(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, serverAdded("a", 5), serverAdded("b", 4)), start, grace)
	state = state.WithStoreUnreachable(start).WithStoreRecovered(start.Add(4 * time.Second))
	recovered := start.Add(4 * time.Second)
	state = state.WithFeed(fullFeed(8), recovered.Add(100*time.Millisecond), grace)
	assert.Equal(t, len(state.Servers("engine")), 2)
	state = state.WithFeed(feedAfter(8, 9, serverAdded("b", 9)), recovered.Add(time.Second), grace)
	state = state.WithoutExpired(recovered.Add(grace - time.Millisecond))
	assert.Equal(t, len(state.Servers("engine")), 2)
	state = state.WithoutExpired(recovered.Add(grace + time.Millisecond))
	assert.Equal(t, len(state.Servers("engine")), 1, "the grace period starts when the store recovers")
	assert.Equal(t, state.Servers("engine")[0].ID, relay.ServerID("b"))
}

func TestLaterRemovalDoesNotExtendGracePeriod(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, serverAdded("a", 5)), start, grace)
	state = state.WithStoreUnreachable(start).WithStoreRecovered(start)
	state = state.WithFeed(feedAfter(5, 6, removal("s/a", 6)), start.Add(1900*time.Millisecond), grace)
	state = state.WithoutExpired(start.Add(grace + time.Millisecond))
	assert.Equal(t, len(state.Servers("engine")), 0)
}

func TestRemovalReportedByPeersCountsDuringOwnOutage(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, serverAdded("a", 5)), start, grace)
	state = state.WithStoreUnreachable(start)
	state = state.WithFeed(feedAfter(5, 6, removal("s/a", 6)), start.Add(time.Second), grace)
	assert.Equal(t, len(state.Servers("engine")), 0)
}

func TestDrainingServerHasNoGracePeriod(t *testing.T) {
	draining := serverAdded("a", 6)
	record := draining.Entry.Server.WithDraining()
	draining.Entry.Server = &record
	state := relay.New(relay.Member{}).WithFeed(fullFeed(6, draining), start, grace)
	state = state.WithStoreUnreachable(start).WithStoreRecovered(start)
	state = state.WithFeed(feedAfter(6, 7, removal("s/a", 7)), start, grace)
	assert.Equal(t, len(state.Servers("engine")), 0)
}

func TestChangesSinceReturnsChangesAfterRevision(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, config(1, 5)), start, grace)
	state = state.WithFeed(feedAfter(5, 6, serverAdded("a", 6)), start, grace)
	state = state.WithFeed(feedAfter(6, 7, serverAdded("b", 7)), start, grace)
	feed := state.ChangesSince(6)
	assert.Assert(t, !feed.Whole)
	assert.Equal(t, len(feed.Changes), 1)
	assert.Equal(t, feed.Revision, int64(7))
	assert.Assert(t, state.ChangesSince(4).Whole, "the history starts at the full snapshot")
	assert.Assert(t, state.ChangesSince(0).Whole)
	other := relay.New(relay.Member{}).WithFeed(state.ChangesSince(0), start, grace)
	assert.Equal(t, len(other.Servers("engine")), 2)
	assert.Equal(t, other.Config.Version, int64(1))
}

func TestProgressOfEarlierOrderDoesNotCount(t *testing.T) {
	orderFor := func(release relay.Release, revision int64) relay.Change {
		return relay.Change{Key: "order", Revision: revision, Entry: relay.Entry{RollOut: &relay.RollOut{Service: "engine", Target: release, Within: time.Minute}}}
	}
	progress := relay.Change{Key: "progress", Revision: 7, Entry: relay.Entry{Progress: &relay.Progress{Service: "engine", Target: "v2", Phase: relay.PhaseReverted}}}
	state := relay.New(relay.Member{}).WithFeed(fullFeed(7, orderFor("v2", 6), progress), start, grace)
	rollOut, _ := state.RollOut("engine")
	assert.Equal(t, rollOut.Phase(), relay.PhaseReverted)
	state = state.WithFeed(feedAfter(7, 8, orderFor("v2", 8)), start.Add(time.Second), grace)
	rollOut, _ = state.RollOut("engine")
	assert.Equal(t, rollOut.Phase(), relay.PhaseNone)
	assert.Equal(t, rollOut.OrderedAt, start.Add(time.Second))
}

func TestWithFeedDoesNotChangeOriginalState(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, serverAdded("a", 5)), start, grace)
	state.WithFeed(feedAfter(5, 6, removal("s/a", 6), serverAdded("b", 6)), start, grace)
	assert.Equal(t, len(state.Servers("engine")), 1)
	_, ok := state.Server("b")
	assert.Assert(t, !ok)
}

// A snapshot with more entries than the history holds must not leave a part of them in it: an instance that
// asks for the changes after an earlier revision would miss the others.
func TestChangesSinceAfterALargeSnapshotIsASnapshot(t *testing.T) {
	const entries = 1500
	state := relay.New(relay.Member{}).WithFeed(fullFeed(1, config(1, 1)), start, grace)
	var changes []relay.Change
	for i := range entries {
		changes = append(changes, serverAdded(relay.ServerID(strconv.Itoa(i)), int64(i+2)))
	}
	state = state.WithFeed(fullFeed(entries+1, changes...), start, grace)
	for _, revision := range []int64{2, entries / 2, entries} {
		assert.Assert(t, state.ChangesSince(revision).Whole, "after revision %d", revision)
	}
	assert.Assert(t, !state.ChangesSince(entries+1).Whole)
	state = state.WithFeed(feedAfter(entries+1, entries+2, serverAdded("new", entries+2)), start, grace)
	assert.Equal(t, len(state.ChangesSince(entries+1).Changes), 1)
}
