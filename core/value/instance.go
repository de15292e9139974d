package value

import "time"

// InstanceState is the membership state of an instance.
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
	// PeerAddress is the address at which other instances reach it.
	PeerAddress string
	// Incarnation orders updates about the instance. Only the instance itself raises it, to refute a
	// suspicion or to announce that it is leaving.
	Incarnation int64
	State       InstanceState
	// LastContact is when this process last received a message from the instance; it is zero for the
	// process's own instance.
	LastContact time.Time
	// Since is when this process learned of the instance's present state.
	Since time.Time
	// Listed reports whether the platform's instance list contains the instance.
	Listed bool
	// Revision is the configuration revision that the instance has in force.
	Revision int64
	// Digest identifies the document that the instance has in force.
	Digest string
	// LaggingSince is when the instance learned of a newer revision that it has not put in force, or
	// has rejected; zero means that it is up to date.
	LaggingSince time.Time
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

// WithLaggingSince returns a copy that has lagged behind since the given time; zero means up to date.
func (i Instance) WithLaggingSince(since time.Time) Instance {
	i.LaggingSince = since
	return i
}

// WithSince returns a copy that has been in its state since the given time.
func (i Instance) WithSince(at time.Time) Instance {
	i.Since = at
	return i
}

// WithListed returns a copy that records whether the platform's instance list contains the instance.
func (i Instance) WithListed(listed bool) Instance {
	i.Listed = listed
	return i
}

// WithLastContact returns a copy whose latest message was received at the given time.
func (i Instance) WithLastContact(at time.Time) Instance {
	i.LastContact = at
	return i
}

// WithIncarnation returns a copy with another incarnation.
func (i Instance) WithIncarnation(n int64) Instance {
	i.Incarnation = n
	return i
}

// CanOwnSlots reports whether the instance may own hash slots. A suspected instance keeps its slots,
// so that a short pause of an instance does not move slots to others.
func (i Instance) CanOwnSlots() bool {
	return i.State == InstanceLive || i.State == InstanceSuspected
}
