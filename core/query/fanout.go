package query

import (
	"slices"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
)

// readersSubject is what the members of a failure domain are ranked for.
const readersSubject = "configuration readers"

// Reads reports whether the instance is one of its failure domain's few that
// watch the key-value service; every instance works it out from its own snapshot, without a write.
func Reads(s state.State, t fleet.Timing) bool {
	readers := s.Domain(s.Self.FailureDomain).Top(readersSubject, t.Readers)
	return slices.Contains(readers, s.Self.ID)
}
