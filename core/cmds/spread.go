package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// ReasonOlderRevision says that a reading of the service or of a peer was older than what is in force.
const ReasonOlderRevision value.Reason = "OlderRevision"

// Spread puts in force what changed in the configuration up to a revision.
type Spread struct {
	Revision int64
	// Accepted is the document, or zero where it did not change.
	Accepted value.Accepted
	// RollOuts are the roll-outs that moved.
	RollOuts []value.Progress
}

// Apply ignores a revision that is not newer than the one in force, so that an old answer of the
// key-value service or of a peer never turns the instance back.
func (c Spread) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	if c.Revision == s.Self.Revision {
		return s, nil
	}
	subject := strconv.FormatInt(c.Revision, 10)
	if c.Revision < s.Self.Revision {
		return s, []state.Effect{state.Decided{What: "ConfigIgnored", Subject: subject, Reason: ReasonOlderRevision}}
	}
	if c.Accepted.Revision > s.Config.Revision {
		s = s.WithConfig(c.Accepted)
	}
	for _, p := range c.RollOuts {
		s = s.WithProgress(p)
	}
	return s.WithRevision(c.Revision), []state.Effect{
		state.Decided{What: "ConfigInstalled", Subject: subject},
		state.Announce{Config: s.Config},
	}
}
