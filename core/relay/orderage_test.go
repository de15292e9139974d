package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

const rollOutTime = 20 * time.Second

func orderAt(revision int64) relay.Change {
	return relay.Change{Key: "order", Revision: revision, Entry: relay.Entry{
		RollOut: &relay.RollOut{Service: "engine", Target: "v2", Within: rollOutTime},
	}}
}

func startedServer(id relay.ServerID, revision int64, release relay.Release, startTime time.Time) relay.Change {
	change := serverAdded(id, revision)
	change.Entry.Server.Release, change.Entry.Server.Born = release, startTime
	return change
}

func engineRollOut(t *testing.T, state relay.State) relay.RollOutState {
	t.Helper()
	rollOut, ok := state.RollOut("engine")
	assert.Assert(t, ok)
	return rollOut
}

func TestOrderAgesReportsOrderObservedWhenGiven(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, config(1, 5)), start, grace)
	state = state.WithFeed(feedAfter(5, 6, orderAt(6)), start, grace)
	assert.Assert(t, !state.HasUnknownOrderAge())
	state = state.WithFeed(feedAfter(6, 7, serverAdded("a", 7)), start.Add(3*time.Second), grace)
	assert.DeepEqual(t, state.OrderAges(start.Add(4*time.Second)),
		[]relay.OrderAge{{Service: "engine", Revision: 6, Age: 4 * time.Second}})
}

func TestRestartedInstanceTakesOrderAgeFromPeers(t *testing.T) {
	restarted := relay.New(relay.Member{}).WithFeed(fullFeed(7, orderAt(6)), start, grace)
	assert.Assert(t, restarted.HasUnknownOrderAge())
	assert.Equal(t, len(restarted.OrderAges(start)), 0, "an estimated age must not be reported")
	reported := []relay.OrderAge{{Service: "engine", Revision: 6, Age: 9 * time.Second}}
	state := restarted.WithOrderAges(reported, start.Add(time.Second))
	assert.Equal(t, engineRollOut(t, state).OrderedAt, start.Add(-8*time.Second))
	assert.Assert(t, !state.HasUnknownOrderAge())
	state = state.WithOrderAges([]relay.OrderAge{{Service: "engine", Revision: 6, Age: time.Second}}, start)
	assert.Equal(t, engineRollOut(t, state).OrderedAt, start.Add(-8*time.Second), "a known age is not replaced")
	earlierOrder := []relay.OrderAge{{Service: "engine", Revision: 3, Age: 90 * time.Second}}
	assert.Assert(t, restarted.WithOrderAges(earlierOrder, start).HasUnknownOrderAge(), "an earlier order's age doesn't count")
}

func TestOrderAgeIsEstimatedFromServerStartsWithoutPeers(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(9, orderAt(6),
		startedServer("a", 1, "v1", start.Add(-time.Hour)),
		startedServer("b", 7, "v2", start.Add(-6*time.Second)),
		startedServer("c", 8, "v2", start.Add(-5*time.Second)),
		startedServer("d", 9, "v2", start.Add(-time.Second))), start, grace)
	assert.Equal(t, engineRollOut(t, state).OrderedAt, start.Add(-5*time.Second))
	longRunning := relay.New(relay.Member{}).WithFeed(fullFeed(9, orderAt(6), startedServer("b", 7, "v2", start.Add(-time.Hour))), start, grace)
	assert.Equal(t, engineRollOut(t, longRunning).OrderedAt, start.Add(-rollOutTime))
	noServers := relay.New(relay.Member{}).WithFeed(fullFeed(9, orderAt(6)), start, grace)
	assert.Equal(t, engineRollOut(t, noServers).OrderedAt, start)
}

func TestOrderReceivedAfterStoreOutageHasUnknownAge(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(5, config(1, 5)), start, grace).WithStoreUnreachable(start)
	recovered := start.Add(5 * time.Second)
	assert.Assert(t, state.WithFeed(feedAfter(5, 6, orderAt(6)), recovered, grace).HasUnknownOrderAge())
	assert.Assert(t, state.WithStoreRecovered(recovered).WithFeed(feedAfter(5, 6, orderAt(6)), recovered, grace).HasUnknownOrderAge())
	later := recovered.Add(time.Second)
	assert.Assert(t, !state.WithStoreRecovered(recovered).WithFeed(feedAfter(5, 6, orderAt(6)), later, grace).HasUnknownOrderAge())
}
