package query_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

func TestLargeFailureDomainHasSeveralReaders(t *testing.T) {
	var entries []relay.Entry
	for i := range 100 {
		entries = append(entries, member(relay.MemberName(fmt.Sprintf("n%03d", i)), "d1"))
	}
	feed := relay.Feed{Whole: true, Revision: 100}
	for i, e := range entries {
		feed.Changes = append(feed.Changes, relay.Change{Key: fmt.Sprint(i), Revision: int64(i + 1), Entry: e})
	}
	followers := make(map[relay.MemberName]int)
	readers := 0
	for _, e := range entries {
		state := relay.New(*e.Member).WithFeed(feed, now, 0)
		reader, other := query.Reader(state, func(relay.MemberName) bool { return false })
		followers[reader.Name]++
		if !other {
			readers++
		}
	}
	assert.Equal(t, readers, len(followers), "the readers are exactly the instances that read the store themselves")
	assert.Assert(t, readers >= 4 && readers <= 5, "%v", followers)
	for name, n := range followers {
		assert.Assert(t, n < 40, "%s reads for %d instances", name, n)
	}
}

func TestSmallFailureDomainHasOneReader(t *testing.T) {
	state := stateOf(member("n1", "d1"), member("n2", "d1"), member("n3", "d1"), member("n4", "d2"))
	none := func(relay.MemberName) bool { return false }
	readers := make(map[relay.MemberName]bool)
	for _, m := range state.Members()[:3] {
		own := state
		own.Self = m
		reader, other := query.Reader(own, none)
		assert.Equal(t, other, reader.Name != m.Name)
		readers[reader.Name] = true
	}
	assert.Equal(t, len(readers), 1)
	single := state
	single.Self = state.Members()[3]
	_, other := query.Reader(single, none)
	assert.Assert(t, !other)
	all := func(relay.MemberName) bool { return true }
	_, other = query.Reader(state, all)
	assert.Assert(t, !other, "with all others suspected, the instance reads the store itself")
}

func TestUpdateSourceAlternatesBetweenOwnAndOtherReaders(t *testing.T) {
	state := stateOf(member("n1", "d1"), member("n2", "d1"), member("n3", "d2"), member("n4", "d3"))
	none := func(relay.MemberName) bool { return false }
	own, _ := query.Reader(state, none)
	asked := make(map[relay.MemberName]bool)
	for turn := range 4 {
		m := query.UpdateSource(state, turn, none)
		assert.Equal(t, m.Name == own.Name, turn%2 == 0)
		asked[m.Name] = true
	}
	assert.Equal(t, len(asked), 3, "each failure domain's reader is asked in turn")
	alone := stateOf(member("n1", "d1"), member("n2", "d1"))
	assert.Equal(t, query.UpdateSource(alone, 1, none).Domain, relay.FailureDomain("d1"))
}
