package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

const within = 20 * time.Second

func order(revision int64) relay.Change {
	return relay.Change{Key: "order", Revision: revision, Entry: relay.Entry{
		RollOut: &relay.RollOut{Service: "engine", Target: "v2", Within: within},
	}}
}

func started(id relay.ServerID, revision int64, r relay.Release, at time.Time) relay.Change {
	c := server(id, revision)
	c.Entry.Server.Release, c.Entry.Server.Born = r, at
	return c
}

func seen(t *testing.T, s relay.State) relay.Plan {
	t.Helper()
	p, ok := s.Plan("engine")
	assert.Assert(t, ok)
	return p
}

func TestAnInstanceThatSawAnOrderTellsItsAge(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, config(1, 5)), start, grace)
	s = s.WithFeed(after(5, 6, order(6)), start, grace)
	assert.Assert(t, !s.AgeUnknown())
	s = s.WithFeed(after(6, 7, server("a", 7)), start.Add(3*time.Second), grace)
	assert.DeepEqual(t, s.OrderAges(start.Add(4*time.Second)),
		[]relay.OrderAge{{Service: "engine", Revision: 6, Age: 4 * time.Second}})
}

func TestARestartedInstanceCountsFromTheOrder(t *testing.T) {
	restarted := relay.New(relay.Member{}).WithFeed(whole(7, order(6)), start, grace)
	assert.Assert(t, restarted.AgeUnknown())
	assert.Equal(t, len(restarted.OrderAges(start)), 0, "it must not pass on what it doesn't know")
	told := []relay.OrderAge{{Service: "engine", Revision: 6, Age: 9 * time.Second}}
	s := restarted.WithOrderAges(told, start.Add(time.Second))
	assert.Equal(t, seen(t, s).Seen, start.Add(-8*time.Second))
	assert.Assert(t, !s.AgeUnknown())
	s = s.WithOrderAges([]relay.OrderAge{{Service: "engine", Revision: 6, Age: time.Second}}, start)
	assert.Equal(t, seen(t, s).Seen, start.Add(-8*time.Second), "what is known stays")
	old := []relay.OrderAge{{Service: "engine", Revision: 3, Age: 90 * time.Second}}
	assert.Assert(t, restarted.WithOrderAges(old, start).AgeUnknown(), "an earlier order's age doesn't count")
}

func TestAfterTheLossOfAllTheServersStartTellsTheAge(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(9, order(6),
		started("a", 1, "v1", start.Add(-time.Hour)),
		started("b", 7, "v2", start.Add(-6*time.Second)),
		started("c", 8, "v2", start.Add(-5*time.Second)),
		started("d", 9, "v2", start.Add(-time.Second))), start, grace)
	assert.Equal(t, seen(t, s).Seen, start.Add(-5*time.Second))
	ancient := relay.New(relay.Member{}).WithFeed(whole(9, order(6), started("b", 7, "v2", start.Add(-time.Hour))), start, grace)
	assert.Equal(t, seen(t, ancient).Seen, start.Add(-within))
	none := relay.New(relay.Member{}).WithFeed(whole(9, order(6)), start, grace)
	assert.Equal(t, seen(t, none).Seen, start)
}

func TestAnOrderThatAnOutageHeldUpIsOfUnknownAge(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, config(1, 5)), start, grace).WithAway(start)
	back := start.Add(5 * time.Second)
	assert.Assert(t, s.WithFeed(after(5, 6, order(6)), back, grace).AgeUnknown())
	assert.Assert(t, s.WithBack(back).WithFeed(after(5, 6, order(6)), back, grace).AgeUnknown())
	later := back.Add(time.Second)
	assert.Assert(t, !s.WithBack(back).WithFeed(after(5, 6, order(6)), later, grace).AgeUnknown())
}
