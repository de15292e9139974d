package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// InstallConfig puts an accepted document in force unless the instance has a newer one.
type InstallConfig struct {
	Accepted value.Accepted
}

// Apply ignores a document that is not newer than the one in force, so that an old answer of the
// key-value service or of a peer never turns the instance back.
func (c InstallConfig) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	next, effects := installDocument(s, c.Accepted)
	if len(effects) == 0 {
		return s, nil
	}
	return next, append(effects, state.Announce{Config: c.Accepted})
}

// installDocument leaves it to its caller to announce what came into force.
func installDocument(s state.State, a value.Accepted) (state.State, []state.Effect) {
	if a.Revision <= s.Config.Revision {
		return s, nil
	}
	return s.WithConfig(a), []state.Effect{
		state.Decided{What: "ConfigInstalled", Subject: a.Digest},
	}
}
