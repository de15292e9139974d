package state

import (
	"iter"
	"time"

	"endivehitch/core/policy"
)

// Install is the coming into force of a configuration at this instance.
type Install struct {
	Revision int64
	At       time.Time
}

// installsKept bounds for how many configurations an instance's lag can be told.
const installsKept = 256

// Installs yields the latest configurations that came into force here, the latest first.
func (s State) Installs() iter.Seq[Install] {
	return s.installs.All()
}

// WithInstall returns a state that remembers when the present configuration came into force.
func (s State) WithInstall(at time.Time) State {
	if s.Config.Revision == 0 {
		return s
	}
	if s.installs == (policy.Ring[Install]{}) {
		s.installs = policy.NewRing[Install](installsKept)
	}
	s.installs = s.installs.With(Install{Revision: s.Config.Revision, At: at})
	return s
}
