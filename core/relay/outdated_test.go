package relay_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

// written is the entry that the incarnation of server "a" wrote as its nth.
func written(born time.Time, n, revision int64) relay.Change {
	change := serverAdded("a", revision)
	change.Entry.Server.Born, change.Entry.Server.Sequence = born, n
	return change
}

func draining(change relay.Change) relay.Change {
	server := change.Entry.Server.WithDraining()
	change.Entry.Server = &server
	return change
}

// stateOf returns the state after the changes, which follow each other in the store.
func stateOf(changes ...relay.Change) relay.State {
	state := relay.New(relay.Member{}).WithFeed(fullFeed(1), start, grace)
	for _, change := range changes {
		state = state.WithFeed(feedAfter(state.Revision, change.Revision, change), start, grace)
	}
	return state
}

var (
	born   = time.Unix(500, 0)
	reborn = time.Unix(600, 0)
)

// Guards against requests to a server that drains, after the store has carried out an earlier heartbeat of it late.
func TestLateHeartbeatDoesNotUndoDraining(t *testing.T) {
	state := stateOf(written(born, 5, 2), draining(written(born, 7, 3)), written(born, 6, 4))
	server, ok := state.Server("a")
	assert.Assert(t, ok && server.Draining)
	assert.Assert(t, state.HasOutdatedEntry("s/a"))
}

// Guards against a heartbeat of an earlier incarnation that replaces the entry of the present one: the server would count as one
// that drains, or as one that has said it leaves.
func TestHeartbeatOfAnEarlierIncarnationChangesNothing(t *testing.T) {
	state := stateOf(written(reborn, 1, 2), draining(written(born, 90, 3)))
	server, _ := state.Server("a")
	assert.Assert(t, server.Born.Equal(reborn) && !server.Draining)
	state = state.WithFeed(fullFeed(4, draining(written(born, 90, 3))), start, grace)
	server, _ = state.Server("a")
	assert.Assert(t, server.Born.Equal(reborn), "a full snapshot holds the same outdated entry")
	state = state.WithFeed(feedAfter(4, 5, written(reborn, 2, 5)), start, grace)
	assert.Equal(t, state.OutdatedEntries(), 0)
}

// Guards against a server that is used again after it has left, as an earlier heartbeat of it is carried out late.
func TestLateHeartbeatDoesNotListAServerThatIsGone(t *testing.T) {
	left := []relay.Change{draining(written(born, 7, 2)), removal("s/a", 3)}
	_, ok := stateOf(append(left, written(born, 6, 4))...).Server("a")
	assert.Assert(t, !ok)
	_, ok = stateOf(append(left, written(born, 8, 4))...).Server("a")
	assert.Assert(t, ok, "a server that goes on writing is back")
	_, ok = stateOf(append(left, written(reborn, 1, 4))...).Server("a")
	assert.Assert(t, ok, "so is its next incarnation")
	state := stateOf(append(left, written(born, 6, 4))...).WithFeed(fullFeed(5), start, grace)
	assert.Equal(t, state.OutdatedEntries(), 0, "the store has removed the outdated entry")
}

// Guards against a server that is never used again, as its clock was set back before its last start.
func TestOutdatedEntryIsUsedOnceNothingNewerIsWritten(t *testing.T) {
	for name, state := range map[string]relay.State{
		"listed": stateOf(written(reborn, 9, 2), written(born, 1, 3)),
		"gone":   stateOf(written(reborn, 9, 2), removal("s/a", 3), written(born, 1, 4)),
	} {
		held := state.WithoutExpired(start.Add(29 * time.Second))
		assert.Equal(t, held.OutdatedEntries(), 1, name)
		unreachable := state.WithStoreUnreachable(start).WithoutExpired(start.Add(time.Minute))
		assert.Equal(t, unreachable.OutdatedEntries(), 1, "%s: nothing newer could be read", name)
		used := state.WithoutExpired(start.Add(31 * time.Second))
		server, ok := used.Server("a")
		assert.Assert(t, ok && server.Born.Equal(born) && used.OutdatedEntries() == 0, name)
	}
}

// Guards against servers that are held for outdated because they don't say when they started: their counts begin anew.
func TestEntriesWithoutAStartAreNeverOutdated(t *testing.T) {
	_, ok := stateOf(written(time.Time{}, 9, 2), removal("s/a", 3), written(time.Time{}, 1, 4)).Server("a")
	assert.Assert(t, ok)
}

// Guards against memory that grows with each server that has ever left.
func TestLastEntriesOfGoneServersAreBounded(t *testing.T) {
	const maxKnown, gone = 1024, 1100
	state := relay.New(relay.Member{}).WithFeed(fullFeed(1), start, grace)
	apply := func(change relay.Change, at time.Time) {
		change.Revision = state.Revision + 1
		state = state.WithFeed(feedAfter(state.Revision, change.Revision, change), at, grace)
	}
	entry := func(i int, n int64) relay.Change {
		change := serverAdded(relay.ServerID(fmt.Sprint(i)), 0)
		change.Entry.Server.Born, change.Entry.Server.Sequence = born, n
		return change
	}
	for i := range gone {
		apply(entry(i, 2), start)
		apply(removal(entry(i, 2).Key, 0), start.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range gone {
		apply(entry(i, 1), start.Add(time.Minute))
	}
	assert.Equal(t, state.OutdatedEntries(), maxKnown)
	_, ok := state.Server("0")
	assert.Assert(t, ok, "the one that has been gone for longest is not known any more")
}
