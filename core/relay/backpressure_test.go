package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

// Guards against a server that is never used again after it said it leaves: one that doesn't say when it started can't be told from
// its next incarnation.
func TestStatementOfAServerWithoutAStartEndsAfterItsEntryWasGone(t *testing.T) {
	server := relay.Server{ID: "a"}
	at := func(after time.Duration) time.Time { return start.Add(after) }
	leaving := relay.Restriction{}.WithLeaving(time.Time{}, time.Time{}).WithEntry(server, true, at(time.Hour))
	assert.Assert(t, leaving.IsLeaving(server), "its entry was never gone")
	returned := leaving.WithEntry(relay.Server{}, false, at(time.Hour)).WithEntry(server, true, at(time.Hour+time.Minute))
	assert.Assert(t, returned.IsLeaving(server), "its entry may be a late one")
	assert.Assert(t, !returned.WithEntry(server, true, at(time.Hour+10*time.Minute)).IsLeaving(server))
}

// Guards against a late answer or report of an earlier incarnation that ends what the present one has said.
func TestEarlierIncarnationThatLeavesChangesNothing(t *testing.T) {
	present := relay.Server{ID: "a", Born: reborn}
	leaving := relay.Restriction{}.WithLeaving(reborn, time.Time{})
	assert.Assert(t, leaving.WithLeaving(born, time.Time{}).IsLeaving(present))
	answered := leaving.WithAnswer(relay.Server{ID: "a", Born: born}, relay.Backpressure{Leaving: true}, start, start)
	assert.Assert(t, answered.IsLeaving(present))
}
