package query

import (
	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	// readerRankingKey is the key by which rendezvous hashing ranks a failure domain's instances.
	readerRankingKey = "configuration readers"
	// sparesPerReader is how many further instances per reader are considered, in case some are not
	// live.
	sparesPerReader = 3
)

// IsConfigReader reports whether the instance is one of the few in its failure domain that watch the
// key-value service for configuration; every instance computes this from its own snapshot, without
// a write.
//
// Instances that are not live are skipped, so that a suspected reader is replaced before it is
// removed.
func IsConfigReader(s state.State, t fleet.Timing) bool {
	readers := 0
	for _, id := range s.DomainOwners(s.Self.FailureDomain).Top(readerRankingKey, t.Readers*(1+sparesPerReader)) {
		if i, ok := s.Instance(id); !ok || i.State != value.InstanceLive {
			continue
		}
		if id == s.Self.ID {
			return true
		}
		if readers++; readers == t.Readers {
			return false
		}
	}
	return false
}
