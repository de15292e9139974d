package cmds_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cmds"
)

var now = time.Unix(3000, 0)

func told(effects []relay.Effect) []string {
	var what []string
	for _, e := range effects {
		what = append(what, e.(relay.Decided).What)
	}
	return what
}

func TestAnOutageIsToldOnceAtEachEnd(t *testing.T) {
	s, lines := cmds.StoreAway{Cause: "timeout"}.Apply(relay.New(relay.Member{}), now)
	assert.DeepEqual(t, told(lines), []string{"StoreLost"})
	s, lines = cmds.StoreAway{Cause: "timeout"}.Apply(s, now.Add(time.Second))
	assert.Equal(t, len(lines), 0)
	assert.Equal(t, s.Away, now)
	feed := relay.Feed{Whole: true, Revision: 4}
	heard, lines := cmds.Learn{Feed: feed, From: "other"}.Apply(s, now.Add(time.Second))
	assert.DeepEqual(t, told(lines), []string{"ImageRead"})
	assert.Assert(t, !heard.Away.IsZero(), "another instance's news doesn't bring the store back")
	s, lines = cmds.Learn{Feed: feed, From: "store", Direct: true}.Apply(s, now.Add(2*time.Second))
	assert.DeepEqual(t, told(lines), []string{"StoreRegained", "ImageRead"})
	assert.Equal(t, s.Back, now.Add(2*time.Second))
	_, lines = cmds.Learn{Feed: relay.Feed{After: 4, Revision: 4}, Direct: true}.Apply(s, now.Add(3*time.Second))
	assert.Equal(t, len(lines), 0)
}

func TestEachChangeIsTold(t *testing.T) {
	s, _ := cmds.Learn{Feed: relay.Feed{Whole: true, Revision: 1}}.Apply(relay.New(relay.Member{}), now)
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
	s, lines := cmds.Learn{Feed: feed}.Apply(s, now)
	assert.DeepEqual(t, told(lines), []string{
		"ConfigInstalled", "ServerReady", "ServerDraining", "EntryGone", "RollOutOrdered", "RollOutProgress", "RollOutHolder",
	})
	_, lines = cmds.Learn{Feed: feed}.Apply(s, now)
	assert.Equal(t, len(lines), 0, "news that is known is not told again")
}

func TestALeavingInstanceSaysSoOnce(t *testing.T) {
	s, lines := cmds.Leave{}.Apply(relay.New(relay.Member{Name: "n"}), now)
	assert.DeepEqual(t, told(lines), []string{"Leaving"})
	_, lines = cmds.Leave{}.Apply(s, now)
	assert.Equal(t, len(lines), 0)
}

func TestServersThatDoNotComeBackAreToldOf(t *testing.T) {
	s, _ := cmds.Learn{Direct: true, Feed: relay.Feed{Whole: true, Revision: 2, Changes: []relay.Change{
		{Key: "s", Revision: 2, Entry: relay.Entry{Server: &relay.Server{ID: "s", Service: "a"}}},
	}}}.Apply(relay.New(relay.Member{}), now)
	s, _ = cmds.StoreAway{}.Apply(s, now)
	s, _ = cmds.Learn{Direct: true, Grace: time.Second, Feed: relay.Feed{Whole: true, Revision: 3}}.Apply(s, now)
	assert.Equal(t, len(s.Servers("a")), 1)
	s, lines := cmds.Tick{}.Apply(s, now.Add(2*time.Second))
	assert.DeepEqual(t, told(lines), []string{"ServersGone"})
	assert.Equal(t, len(s.Servers("a")), 0)
}

func TestARemovalCountsAtOnceAfterAnOutageOfTheInstanceAlone(t *testing.T) {
	const grace = 2 * time.Second
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	entry := relay.Change{Key: "s", Revision: 2, Entry: relay.Entry{Server: &relay.Server{ID: "s", Service: "app"}}}
	removal := relay.Feed{After: 3, Revision: 4, Changes: []relay.Change{{Key: "s", Revision: 4, Gone: true}}}
	// lost returns an instance that lost the store 1 s after its last answer and has it back at 9 s.
	lost := func(told ...relay.Feed) relay.State {
		s, _ := cmds.Learn{Feed: relay.Feed{Whole: true, Revision: 3, Changes: []relay.Change{entry}}, Direct: true, Grace: grace}.Apply(relay.New(relay.Member{}), at(0))
		s, _ = cmds.StoreAway{Cause: "timeout"}.Apply(s, at(1))
		for _, f := range told {
			s, _ = cmds.Learn{Feed: f, Grace: grace}.Apply(s, at(8))
		}
		s, _ = cmds.Learn{Feed: relay.Feed{After: 3, Revision: 3}, Direct: true, Grace: grace}.Apply(s, at(9))
		s, _ = cmds.Learn{Feed: removal, Direct: true, Grace: grace}.Apply(s, at(9.5))
		return s
	}
	served := func(age time.Duration) relay.Feed { return relay.Feed{After: 3, Revision: 3, Served: age} }
	assert.Equal(t, len(lost(served(time.Second)).Servers("app")), 0, "the store served others all the time")
	assert.Equal(t, len(lost().Servers("app")), 1, "the store may have been away for the server too")
	assert.Equal(t, len(lost(served(7500*time.Millisecond)).Servers("app")), 1, "others heard from it before it was lost")
	assert.Equal(t, len(lost(served(5*time.Second)).Servers("app")), 1, "it may have been away since")
}
