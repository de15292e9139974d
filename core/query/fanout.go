package query

import (
	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

const (
	// readersSubject is what the members of a failure domain are ranked for.
	readersSubject = "configuration readers"
	// readerSpares is how many suspected instances are passed over for each reader.
	readerSpares = 3
)

// Reads reports whether the instance is one of its failure domain's few that
// watch the key-value service; every instance works it out from its own snapshot, without a write.
//
// A suspected instance is passed over, as its place must not stay empty until it is gone.
func Reads(s state.State, t fleet.Timing) bool {
	readers := 0
	for _, id := range s.Domain(s.Self.FailureDomain).Top(readersSubject, t.Readers*(1+readerSpares)) {
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
