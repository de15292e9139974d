package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Status is the fleet and the configuration as one instance knows them.
type Status struct {
	Self     value.InstanceID
	Digest   string
	Revision int64
	// Newest is the newest configuration revision that the instance knows of.
	Newest   int64
	Fleet    []InstanceStatus
	RollOuts []value.Progress
}

// Report returns the status of the fleet: which configuration each of the given instances has in
// force and for how long it has lagged, as the instances themselves report it.
func Report(s state.State, fleet []value.Instance, now time.Time) Status {
	status := Status{
		Self:     s.Self.ID,
		Digest:   s.Config.Digest,
		Revision: s.Self.Revision,
		Newest:   s.NewestKnown,
	}
	for _, i := range fleet {
		status.Fleet = append(status.Fleet, instanceStatusOf(s, i, now))
	}
	for _, r := range s.Config.Document.RollOuts {
		status.RollOuts = append(status.RollOuts, s.Position(r))
	}
	return status
}
