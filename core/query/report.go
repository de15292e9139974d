package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Status is an instance's view of the fleet.
type Status struct {
	Self     value.InstanceID
	Digest   string
	Revision int64
	// Newest is the newest configuration revision that the instance has heard of.
	Newest   int64
	Fleet    []Standing
	RollOuts []value.Progress
}

// Report returns which instance has which configuration, and for how long it has lagged, by what the
// instances of the fleet say of themselves.
func Report(s state.State, fleet []value.Instance, now time.Time) Status {
	status := Status{
		Self:     s.Self.ID,
		Digest:   s.Config.Digest,
		Revision: s.Self.Revision,
		Newest:   s.Newest,
	}
	for _, i := range fleet {
		status.Fleet = append(status.Fleet, standing(s, i, now))
	}
	for _, r := range s.Config.Document.RollOuts {
		status.RollOuts = append(status.RollOuts, s.Position(r))
	}
	return status
}
