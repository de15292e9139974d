package query_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

func TestALargeFailureDomainHasSeveralReaders(t *testing.T) {
	var entries []relay.Entry
	for i := range 100 {
		entries = append(entries, member(relay.MemberName(fmt.Sprintf("n%03d", i)), "d1"))
	}
	f := relay.Feed{Whole: true, Revision: 100}
	for i, e := range entries {
		f.Changes = append(f.Changes, relay.Change{Key: fmt.Sprint(i), Revision: int64(i + 1), Entry: e})
	}
	told := make(map[relay.MemberName]int)
	readers := 0
	for _, e := range entries {
		s := relay.New(*e.Member).WithFeed(f, now, 0)
		reader, other := query.Reader(s, func(relay.MemberName) bool { return false })
		told[reader.Name]++
		if !other {
			readers++
		}
	}
	assert.Equal(t, readers, len(told), "each reader knows that it is one")
	assert.Assert(t, readers >= 4 && readers <= 5, "%v", told)
	for name, n := range told {
		assert.Assert(t, n < 40, "%s tells %d", name, n)
	}
}

func TestOneReaderInEachFailureDomain(t *testing.T) {
	s := stateOf(member("n1", "d1"), member("n2", "d1"), member("n3", "d1"), member("n4", "d2"))
	none := func(relay.MemberName) bool { return false }
	readers := make(map[relay.MemberName]bool)
	for _, m := range s.Members()[:3] {
		own := s
		own.Self = m
		reader, other := query.Reader(own, none)
		assert.Equal(t, other, reader.Name != m.Name)
		readers[reader.Name] = true
	}
	assert.Equal(t, len(readers), 1)
	lonely := s
	lonely.Self = s.Members()[3]
	_, other := query.Reader(lonely, none)
	assert.Assert(t, !other)
	all := func(relay.MemberName) bool { return true }
	_, other = query.Reader(s, all)
	assert.Assert(t, !other, "without a trusted reader the instance reads the store itself")
}

func TestNobodyDependsOnOneReader(t *testing.T) {
	s := stateOf(member("n1", "d1"), member("n2", "d1"), member("n3", "d2"), member("n4", "d3"))
	none := func(relay.MemberName) bool { return false }
	own, _ := query.Reader(s, none)
	asked := make(map[relay.MemberName]bool)
	for turn := range 4 {
		m := query.Teller(s, turn, none)
		assert.Equal(t, m.Name == own.Name, turn%2 == 0)
		asked[m.Name] = true
	}
	assert.Equal(t, len(asked), 3, "each failure domain's reader is asked in turn")
	alone := stateOf(member("n1", "d1"), member("n2", "d1"))
	assert.Equal(t, query.Teller(alone, 1, none).Domain, relay.FailureDomain("d1"))
}
