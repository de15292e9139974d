package query

import (
	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

// Reader returns the instance of the own failure domain that reads the store for the others there,
// and whether it is another than this one; suspected ones are passed over.
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

func readerOf(s relay.State, d relay.FailureDomain, suspected func(relay.MemberName) bool) relay.Member {
	var reader relay.Member
	best := uint64(0)
	for _, m := range s.Members() {
		if m.Domain != d || (m.Name != s.Self.Name && suspected(m.Name)) {
			continue
		}
		if w := xxhash.Sum64String(string(m.Name)); w >= best {
			reader, best = m, w
		}
	}
	return reader
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
