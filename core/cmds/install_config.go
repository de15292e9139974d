package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// InstallConfig puts a document in force if it is newer than the present one.
type InstallConfig struct {
	Accepted value.AcceptedDocument
}

// Apply ignores a document that is not newer than the one in force, so that an outdated read from the
// key-value service or a peer never reverts the instance.
func (c InstallConfig) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	next, effects := installDocument(s, c.Accepted)
	if len(effects) == 0 {
		return s, nil
	}
	return next, append(effects, state.AnnounceConfig{Config: c.Accepted})
}

// installDocument puts a newer document in force. The caller announces it, because InstallRevision also
// announces revisions that leave the document as it is.
func installDocument(s state.State, a value.AcceptedDocument) (state.State, []state.Effect) {
	if a.Revision <= s.Config.Revision {
		return s, nil
	}
	return s.WithConfig(a), []state.Effect{
		state.RecordDecision{Event: "ConfigInstalled", Subject: a.Digest},
	}
}
