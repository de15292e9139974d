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
	// Withdrawals are the versions that were taken out of service.
	Withdrawals []value.Withdrawal
}

// Apply ignores a revision that is not newer than the one in force, so that an old answer of the
// key-value service or of a peer never turns the instance back.
func (c Spread) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
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
	s, effects := c.installRollOuts(s, now)
	effects = append(effects,
		state.Decided{What: "ConfigInstalled", Subject: subject},
		state.Announce{Config: s.Config},
	)
	return s.WithRevision(c.Revision), effects
}

// installRollOuts takes in positions and withdrawals by their own rules: this instance may have moved on already.
func (c Spread) installRollOuts(s state.State, now time.Time) (state.State, []state.Effect) {
	var effects, more []state.Effect
	for _, p := range c.RollOuts {
		s, more = InstallProgress{Progress: p}.Apply(s, now)
		effects = append(effects, more...)
	}
	for _, w := range c.Withdrawals {
		s, more = InstallWithdrawal{Withdrawal: w}.Apply(s, now)
		effects = append(effects, more...)
	}
	return s, effects
}
