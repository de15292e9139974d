package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// The reasons for which a revision is not put in force, or not completely.
const (
	// ReasonOlderRevision means that the key-value service or a peer returned a revision older than the
	// one in force.
	ReasonOlderRevision value.Reason = "OlderRevision"
	// ReasonUndecodable means that entries of the revision could not be decoded.
	ReasonUndecodable value.Reason = "Undecodable"
)

// InstallRevision puts the changes of the configuration up to a revision in force.
type InstallRevision struct {
	Revision int64
	// Accepted is the document, or the zero value if it did not change.
	Accepted value.AcceptedDocument
	// RollOuts are the changed positions of roll-outs.
	RollOuts []value.Progress
	// Withdrawals are the withdrawn versions.
	Withdrawals []value.Withdrawal
	// Rejected reports that some entries could not be decoded; what they replace stays in force.
	Rejected bool
}

// Apply ignores a revision that is not newer than the one in force, so that an outdated read from the
// key-value service or a peer never reverts the instance.
func (c InstallRevision) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	if c.Revision == s.Self.Revision {
		return s, nil
	}
	subject := strconv.FormatInt(c.Revision, 10)
	if c.Revision < s.Self.Revision {
		return s, []state.Effect{state.RecordDecision{Event: "ConfigIgnored", Subject: subject, Reason: ReasonOlderRevision}}
	}
	s, effects := installDocument(s, c.Accepted)
	s, more := c.installRollOuts(s, now)
	effects = append(effects, more...)
	s = c.withRevisionInForce(s, now)
	if c.Rejected {
		effects = append(effects, state.RecordDecision{Event: "ConfigRejected", Subject: subject, Reason: ReasonUndecodable})
	}
	return s, append(effects,
		state.RecordDecision{Event: "RevisionInForce", Subject: subject},
		state.AnnounceConfig{Config: s.Config},
	)
}

// withRevisionInForce returns a state with the revision in force. After a rejection the instance counts as
// lagging until a later document is in force.
func (c InstallRevision) withRevisionInForce(s state.State, now time.Time) state.State {
	lagging := s.Self.LaggingSince
	s = s.WithRevision(c.Revision)
	switch {
	case c.Rejected:
		s = s.WithRejectedRevision(c.Revision)
	case c.Accepted.Revision > s.RejectedRevision:
		s = s.WithRejectedRevision(0)
	}
	if s.RejectedRevision == 0 {
		return s
	}
	if lagging.IsZero() {
		lagging = now
	}
	return s.WithSelf(s.Self.WithLaggingSince(lagging))
}

// installRollOuts applies the positions and withdrawals by their own rules for precedence, because this
// instance may have newer ones already.
func (c InstallRevision) installRollOuts(s state.State, now time.Time) (state.State, []state.Effect) {
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
