package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// ReasonUndecodable says that a revision's bytes could not be decoded.
const ReasonUndecodable value.Reason = "Undecodable"

// RejectConfig notes that a revision could not be decoded, so that the one in force stays.
type RejectConfig struct {
	Revision int64
}

// Apply leaves the configuration as it is; the instance counts as lagging behind the revision.
func (c RejectConfig) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	return s.WithNewest(c.Revision, now), []state.Effect{
		state.Decided{What: "ConfigRejected", Subject: strconv.FormatInt(c.Revision, 10), Reason: ReasonUndecodable},
	}
}
