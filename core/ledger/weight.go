package ledger

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
)

// compareWeight orders candidates by their rendezvous weight for the owner, the highest first.
func compareWeight(owner, x, y value.InstanceID) int {
	return cmp.Or(cmp.Compare(weight(owner, y), weight(owner, x)), cmp.Compare(x, y))
}

func weight(owner, candidate value.InstanceID) uint64 {
	return xxhash.Sum64String(string(owner) + "\x00" + string(candidate))
}
