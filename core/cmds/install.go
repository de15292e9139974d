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
	if c.Accepted.Revision <= s.Config.Revision {
		return s, nil
	}
	next := s.WithConfig(c.Accepted)
	return next, []state.Effect{
		state.Decided{What: "ConfigInstalled", Subject: c.Accepted.Digest},
		state.Announce{Config: c.Accepted},
	}
}
