package value

import "time"

// InstanceState says what an instance may be asked to do.
type InstanceState string

// The states of an instance.
const (
	InstanceLive      InstanceState = "Live"
	InstanceLeaving   InstanceState = "Leaving"
	InstanceSuspected InstanceState = "Suspected"
	InstanceGone      InstanceState = "Gone"
)

// Instance is one process of the fleet.
type Instance struct {
	ID            InstanceID
	FailureDomain FailureDomain
	// PeerAddress is where other instances reach it.
	PeerAddress string
	// Incarnation orders statements of the instance about itself.
	Incarnation int64
	State       InstanceState
	// Seen is when the instance last gave a sign of life.
	Seen time.Time
	// Since is when the instance came into its present state, as this process knows it.
	Since time.Time
	// Listed says that the platform's instance list shows it.
	Listed bool
	// Revision is the configuration's revision that the instance has in force.
	Revision int64
	// Digest identifies the document in force.
	Digest string
	// Lagging is since when the instance knows of a newer revision than it has in force; zero means that it knows of none.
	Lagging time.Time
}

// WithState returns a copy in another state.
func (i Instance) WithState(s InstanceState) Instance {
	i.State = s
	return i
}

// WithRevision returns a copy that has another configuration revision in force.
func (i Instance) WithRevision(revision int64) Instance {
	i.Revision = revision
	return i
}

// WithDigest returns a copy that has the document of another digest in force.
func (i Instance) WithDigest(digest string) Instance {
	i.Digest = digest
	return i
}

// WithLagging returns a copy that lags since the given time, or not at all where it is zero.
func (i Instance) WithLagging(since time.Time) Instance {
	i.Lagging = since
	return i
}

// WithSince returns a copy that is in its state since the given time.
func (i Instance) WithSince(at time.Time) Instance {
	i.Since = at
	return i
}

// WithListed returns a copy that the instance list shows or not.
func (i Instance) WithListed(listed bool) Instance {
	i.Listed = listed
	return i
}

// WithSeen returns a copy that was seen at the given time.
func (i Instance) WithSeen(at time.Time) Instance {
	i.Seen = at
	return i
}

// WithIncarnation returns a copy with another incarnation.
func (i Instance) WithIncarnation(n int64) Instance {
	i.Incarnation = n
	return i
}

// Owns reports whether the instance may own slots: a suspected one keeps its
// slots, so that a short pause moves none.
func (i Instance) Owns() bool {
	return i.State == InstanceLive || i.State == InstanceSuspected
}
