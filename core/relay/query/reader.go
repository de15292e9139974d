package query

import (
	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

// Reader returns the instance of the own failure domain that reads the store for the others there,
// and whether it is another than this one; suspected ones are passed over.
func Reader(s relay.State, suspected func(relay.MemberName) bool) (relay.Member, bool) {
	var reader relay.Member
	best := uint64(0)
	for _, m := range s.Members() {
		if m.Domain != s.Self.Domain || (m.Name != s.Self.Name && suspected(m.Name)) {
			continue
		}
		if w := xxhash.Sum64String(string(m.Name)); w >= best {
			reader, best = m, w
		}
	}
	return reader, reader.Name != "" && reader.Name != s.Self.Name
}
