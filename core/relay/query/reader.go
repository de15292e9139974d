package query

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

// Readers returns the reader of each other failure domain.
func Readers(s relay.State) []relay.Member {
	best := make(map[relay.FailureDomain]relay.Member)
	for _, m := range s.Members() {
		if m.Domain == s.Self.Domain {
			continue
		}
		if have, ok := best[m.Domain]; !ok || weight(m) >= weight(have) {
			best[m.Domain] = m
		}
	}
	return slices.Collect(maps.Values(best))
}

func weight(m relay.Member) uint64 {
	return xxhash.Sum64String(string(m.Name))
}

// Reader returns the instance of the own failure domain that reads the store for the others there,
// and whether it is another than this one; suspected ones are passed over.
func Reader(s relay.State, suspected func(relay.MemberName) bool) (relay.Member, bool) {
	var reader relay.Member
	best := uint64(0)
	for _, m := range s.Members() {
		if m.Domain != s.Self.Domain || (m.Name != s.Self.Name && suspected(m.Name)) {
			continue
		}
		if w := weight(m); w >= best {
			reader, best = m, w
		}
	}
	return reader, reader.Name != "" && reader.Name != s.Self.Name
}
