package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func server(id relay.ServerID, revision int64) relay.Change {
	return relay.Change{Key: "s/" + string(id), Revision: revision, Entry: relay.Entry{
		Server: &relay.Server{ID: id, Service: "engine", Address: "10.0.0.1:1", Release: "v1", Slots: 4},
	}}
}

func config(version, revision int64, routes ...relay.Route) relay.Change {
	return relay.Change{Key: "config", Revision: revision, Entry: relay.Entry{Config: &relay.Config{Version: version, Routes: routes}}}
}

func gone(key string, revision int64) relay.Change {
	return relay.Change{Key: key, Revision: revision, Gone: true}
}

func whole(revision int64, changes ...relay.Change) relay.Feed {
	return relay.Feed{Whole: true, Revision: revision, Changes: changes}
}

func after(at, revision int64, changes ...relay.Change) relay.Feed {
	return relay.Feed{After: at, Revision: revision, Changes: changes}
}

func TestLongestPrefixWins(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, config(1, 5,
		relay.Route{Name: "short", Host: "h", Prefix: "/a/"},
		relay.Route{Name: "long", Host: "h", Prefix: "/a/b/"})), start, grace)
	r, ok := s.Route("h", "/a/b/c")
	assert.Assert(t, ok)
	assert.Equal(t, r.Name, relay.RouteName("long"))
	r, _ = s.Route("h", "/a/c")
	assert.Equal(t, r.Name, relay.RouteName("short"))
	_, ok = s.Route("other", "/a/c")
	assert.Assert(t, !ok)
}

func TestOlderNewsChangesNothing(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(9, config(2, 9)), start, grace)
	s = s.WithFeed(whole(7, config(1, 7)), start, grace)
	assert.Equal(t, s.Config.Version, int64(2))
	s = s.WithFeed(after(20, 21, config(3, 21)), start, grace)
	assert.Equal(t, s.Config.Version, int64(2), "changes that don't follow what is known leave a gap")
	s = s.WithFeed(after(8, 12, config(1, 9), server("a", 12)), start, grace)
	assert.Equal(t, s.Config.Version, int64(2))
	assert.Equal(t, len(s.Servers("engine")), 1)
}

func TestAPageReadLaterIsNotTurnedBack(t *testing.T) {
	// The first page was read at revision 9; the entry comes from a later page.
	s := relay.New(relay.Member{}).WithFeed(whole(9, config(3, 12)), start, grace)
	s = s.WithFeed(after(9, 10, config(2, 10)), start, grace)
	assert.Equal(t, s.Config.Version, int64(3))
	s = s.WithFeed(after(10, 11, gone("config", 11)), start, grace)
	s = s.WithFeed(after(11, 12, config(3, 12)), start, grace)
	assert.Equal(t, s.Config.Version, int64(3))
}

func TestConfigurationOutlivesItsEntry(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, config(1, 5)), start, grace)
	s = s.WithFeed(after(5, 6, gone("config", 6)), start, grace)
	assert.Equal(t, s.Config.Version, int64(1))
}

func TestARemovedServerIsGoneAtOnce(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, server("a", 5)), start, grace)
	s = s.WithFeed(after(5, 6, gone("s/a", 6)), start, grace)
	assert.Equal(t, len(s.Servers("engine")), 0)
}

func TestServersThatVanishedWithTheStoreHaveAGrace(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, server("a", 5), server("b", 4)), start, grace)
	s = s.WithAway(start).WithBack(start.Add(4 * time.Second))
	back := start.Add(4 * time.Second)
	s = s.WithFeed(whole(8), back.Add(100*time.Millisecond), grace)
	assert.Equal(t, len(s.Servers("engine")), 2)
	s = s.WithFeed(after(8, 9, server("b", 9)), back.Add(time.Second), grace)
	s = s.WithTick(back.Add(grace - time.Millisecond))
	assert.Equal(t, len(s.Servers("engine")), 2)
	s = s.WithTick(back.Add(grace + time.Millisecond))
	assert.Equal(t, len(s.Servers("engine")), 1, "the grace counts from the store's return")
	assert.Equal(t, s.Servers("engine")[0].ID, relay.ServerID("b"))
}

func TestTheGraceDoesNotGrowWithALaterRemoval(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, server("a", 5)), start, grace)
	s = s.WithAway(start).WithBack(start)
	s = s.WithFeed(after(5, 6, gone("s/a", 6)), start.Add(1900*time.Millisecond), grace)
	s = s.WithTick(start.Add(grace + time.Millisecond))
	assert.Equal(t, len(s.Servers("engine")), 0)
}

func TestOthersTellOfRemovalsThatTheStoreServed(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, server("a", 5)), start, grace)
	s = s.WithAway(start)
	s = s.WithFeed(after(5, 6, gone("s/a", 6)), start.Add(time.Second), grace)
	assert.Equal(t, len(s.Servers("engine")), 0)
}

func TestADrainingServerHasNoGrace(t *testing.T) {
	leaving := server("a", 6)
	d := leaving.Entry.Server.WithDraining()
	leaving.Entry.Server = &d
	s := relay.New(relay.Member{}).WithFeed(whole(6, leaving), start, grace)
	s = s.WithAway(start).WithBack(start)
	s = s.WithFeed(after(6, 7, gone("s/a", 7)), start, grace)
	assert.Equal(t, len(s.Servers("engine")), 0)
}

func TestSinceTellsWhatAReaderMissed(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, config(1, 5)), start, grace)
	s = s.WithFeed(after(5, 6, server("a", 6)), start, grace)
	s = s.WithFeed(after(6, 7, server("b", 7)), start, grace)
	f := s.Since(6)
	assert.Assert(t, !f.Whole)
	assert.Equal(t, len(f.Changes), 1)
	assert.Equal(t, f.Revision, int64(7))
	assert.Assert(t, s.Since(4).Whole, "history before the image isn't known")
	assert.Assert(t, s.Since(0).Whole)
	other := relay.New(relay.Member{}).WithFeed(s.Since(0), start, grace)
	assert.Equal(t, len(other.Servers("engine")), 2)
	assert.Equal(t, other.Config.Version, int64(1))
}

func TestProgressOfAnEarlierOrderDoesNotCount(t *testing.T) {
	order := func(r relay.Release, revision int64) relay.Change {
		return relay.Change{Key: "order", Revision: revision, Entry: relay.Entry{RollOut: &relay.RollOut{Service: "engine", Target: r, Within: time.Minute}}}
	}
	progress := relay.Change{Key: "progress", Revision: 7, Entry: relay.Entry{Progress: &relay.Progress{Service: "engine", Target: "v2", Phase: relay.PhaseReverted}}}
	s := relay.New(relay.Member{}).WithFeed(whole(7, order("v2", 6), progress), start, grace)
	p, _ := s.Plan("engine")
	assert.Equal(t, p.Phase(), relay.PhaseReverted)
	s = s.WithFeed(after(7, 8, order("v2", 8)), start.Add(time.Second), grace)
	p, _ = s.Plan("engine")
	assert.Equal(t, p.Phase(), relay.PhaseNone)
	assert.Equal(t, p.Seen, start.Add(time.Second))
}

func TestAStateIsNotChangedByItsSuccessors(t *testing.T) {
	s := relay.New(relay.Member{}).WithFeed(whole(5, server("a", 5)), start, grace)
	s.WithFeed(after(5, 6, gone("s/a", 6), server("b", 6)), start, grace)
	assert.Equal(t, len(s.Servers("engine")), 1)
	_, ok := s.Server("b")
	assert.Assert(t, !ok)
}
