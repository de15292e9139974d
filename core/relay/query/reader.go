package query

import (
	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

// followers is how many instances one reader tells of changes; a failure domain with more has several.
const followers = 24

// Reader returns the instance of the own failure domain that reads the store for this one, and whether
// it is another than this one; suspected ones are passed over.
func Reader(s relay.State, suspected func(relay.MemberName) bool) (relay.Member, bool) {
	reader := readerOf(s, s.Self.Domain, suspected)
	return reader, reader.Name != "" && reader.Name != s.Self.Name
}

// Teller returns whom an instance asks that doesn't read the store itself: its own reader on even
// turns, and the readers of the other failure domains on odd ones. So a reader that is cut off from
// the store without knowing it holds up nobody for longer than one turn.
func Teller(s relay.State, turn int, suspected func(relay.MemberName) bool) relay.Member {
	own := readerOf(s, s.Self.Domain, suspected)
	others := domains(s)
	if turn%2 == 0 || len(others) == 0 {
		return own
	}
	teller := readerOf(s, others[turn/2%len(others)], suspected)
	if teller.Name == "" {
		return own
	}
	return teller
}

// readerOf returns the failure domain's reader for this instance: the heaviest of the instances there
// that fall into the same group as this one.
func readerOf(s relay.State, d relay.FailureDomain, suspected func(relay.MemberName) bool) relay.Member {
	groups := groupsIn(s, d)
	own := groupOf(s.Self.Name, groups)
	var reader, other relay.Member
	best, bestOther := uint64(0), uint64(0)
	for _, m := range s.Members() {
		if m.Domain != d || (m.Name != s.Self.Name && suspected(m.Name)) {
			continue
		}
		w := xxhash.Sum64String(string(m.Name))
		if w >= bestOther {
			other, bestOther = m, w
		}
		if w >= best && groupOf(m.Name, groups) == own {
			reader, best = m, w
		}
	}
	if reader.Name == "" {
		return other
	}
	return reader
}

// groupsIn returns into how many groups the instances of the failure domain fall.
func groupsIn(s relay.State, d relay.FailureDomain) uint64 {
	n := 0
	for _, m := range s.Members() {
		if m.Domain == d {
			n++
		}
	}
	return uint64(max(1, (n+followers-1)/followers))
}

func groupOf(n relay.MemberName, groups uint64) uint64 {
	return xxhash.Sum64String("group/"+string(n)) % groups
}

// domains lists the other failure domains, in the order of their first members.
func domains(s relay.State) []relay.FailureDomain {
	var list []relay.FailureDomain
	seen := map[relay.FailureDomain]bool{s.Self.Domain: true}
	for _, m := range s.Members() {
		if !seen[m.Domain] {
			seen[m.Domain] = true
			list = append(list, m.Domain)
		}
	}
	return list
}
