package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// The reasons for which a revision is not put in force, or not whole.
const (
	// ReasonOlderRevision says that a reading of the service or of a peer was older than what is in force.
	ReasonOlderRevision value.Reason = "OlderRevision"
	// ReasonUndecodable says that entries of the revision could not be decoded.
	ReasonUndecodable value.Reason = "Undecodable"
)

// Spread puts in force what changed in the configuration up to a revision.
type Spread struct {
	Revision int64
	// Accepted is the document, or zero where it did not change.
	Accepted value.Accepted
	// RollOuts are the roll-outs that moved.
	RollOuts []value.Progress
	// Withdrawals are the versions that were taken out of service.
	Withdrawals []value.Withdrawal
	// Rejected says that some entries could not be decoded; what they state stays as it was.
	Rejected bool
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
	s, effects := installDocument(s, c.Accepted)
	s, more := c.installRollOuts(s, now)
	effects = append(effects, more...)
	s = c.settle(s, now)
	if c.Rejected {
		effects = append(effects, state.Decided{What: "ConfigRejected", Subject: subject, Reason: ReasonUndecodable})
	}
	return s, append(effects,
		state.Decided{What: "RevisionInForce", Subject: subject},
		state.Announce{Config: s.Config},
	)
}

// settle keeps the instance lagging after a rejection until a later document is in force.
func (c Spread) settle(s state.State, now time.Time) state.State {
	lagging := s.Self.Lagging
	s = s.WithRevision(c.Revision)
	switch {
	case c.Rejected:
		s = s.WithRejected(c.Revision)
	case c.Accepted.Revision > s.Rejected:
		s = s.WithRejected(0)
	}
	if s.Rejected == 0 {
		return s
	}
	if lagging.IsZero() {
		lagging = now
	}
	return s.WithSelf(s.Self.WithLagging(lagging))
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
