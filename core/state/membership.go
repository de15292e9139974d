package state

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Slots is the number of hash slots that are assigned to instances.
const Slots = 256

// membership holds indexes that are derived from the known instances, and updates still to be sent.
type membership struct {
	// owners assigns the slots to the instances that may own them.
	owners policy.Rendezvous[value.InstanceID]
	// domains holds the same instances by failure domain.
	domains policy.Table[value.FailureDomain, policy.Rendezvous[value.InstanceID]]
	// notLive holds the instances that are suspected, leaving or gone.
	notLive policy.Table[value.InstanceID, struct{}]
	// pendingUpdates counts the messages in which the update of an instance is still to be sent.
	pendingUpdates policy.Table[value.InstanceID, int]
}

func newMembership() membership {
	return membership{owners: newAssignment(Slots)}
}

func newAssignment(slots int) policy.Rendezvous[value.InstanceID] {
	r, err := policy.NewRendezvous[value.InstanceID](policy.RendezvousConfig{Slots: slots})
	if err != nil {
		panic("state: " + err.Error())
	}
	return r
}

// Instance returns the instance with the identifier, if it is known.
func (s State) Instance(id value.InstanceID) (value.Instance, bool) {
	return s.instances.Get(id)
}

// LiveInstances returns how many of the known instances are live.
func (s State) LiveInstances() int {
	return s.instances.Len() - s.membership.notLive.Len()
}

// SlotOf returns the hash slot of the key.
func SlotOf(key string) int {
	return int(xxhash.Sum64String(key) % Slots)
}

// Owners returns the assignment of hash slots to instances.
func (s State) Owners() policy.Rendezvous[value.InstanceID] {
	return s.membership.owners
}

// DomainOwners returns the instances of the failure domain that may own hash slots. Callers rank them with
// Top; the single slot of the assignment has no meaning.
func (s State) DomainOwners(d value.FailureDomain) policy.Rendezvous[value.InstanceID] {
	r, ok := s.membership.domains.Get(d)
	if !ok {
		return newAssignment(1)
	}
	return r
}

// NotLive returns the instances that are suspected, leaving or gone.
func (s State) NotLive() policy.Table[value.InstanceID, struct{}] {
	return s.membership.notLive
}

// PendingUpdates returns the updates that gossip still has to send: for each instance, the number of
// messages that still have to carry its update.
func (s State) PendingUpdates() policy.Table[value.InstanceID, int] {
	return s.membership.pendingUpdates
}

// WithSelf returns a state in which this instance is as given.
func (s State) WithSelf(i value.Instance) State {
	s.Self = i
	return s.WithInstance(i)
}

// WithInstance returns a state in which the instance is added or replaced.
func (s State) WithInstance(i value.Instance) State {
	s.instances = s.instances.With(i.ID, i)
	s.membership = s.membership.with(i)
	return s
}

// WithoutInstance returns a state from which the instance is removed.
func (s State) WithoutInstance(id value.InstanceID) State {
	i, ok := s.instances.Get(id)
	if !ok {
		return s
	}
	s.instances = s.instances.Without(id)
	s.membership = s.membership.without(i)
	return s
}

// WithPendingUpdate returns a state in which gossip has to send the update of the instance in the given
// number of messages.
func (s State) WithPendingUpdate(id value.InstanceID, sends int) State {
	if sends <= 0 {
		s.membership.pendingUpdates = s.membership.pendingUpdates.Without(id)
		return s
	}
	s.membership.pendingUpdates = s.membership.pendingUpdates.With(id, sends)
	return s
}

// WithNewestKnown returns a state in which the configuration revision is known to exist; if it is newer than
// the one in force, this instance counts as lagging from now on, unless it did so already.
func (s State) WithNewestKnown(revision int64, now time.Time) State {
	if revision <= s.NewestKnown {
		return s
	}
	s.NewestKnown = revision
	if revision > s.Self.Revision && s.Self.LaggingSince.IsZero() {
		s = s.WithSelf(s.Self.WithLaggingSince(now))
	}
	return s
}

// WithRevision returns a state that has the configuration revision in force, unless a newer one is. The
// instance no longer lags if no newer revision is known.
func (s State) WithRevision(revision int64) State {
	if revision < s.Self.Revision {
		return s
	}
	self := s.Self.WithRevision(revision)
	s.NewestKnown = max(s.NewestKnown, revision)
	if s.NewestKnown == revision {
		self = self.WithLaggingSince(time.Time{})
	}
	return s.WithSelf(self)
}

// WithRejectedRevision returns a state whose RejectedRevision is the revision; zero means none.
func (s State) WithRejectedRevision(revision int64) State {
	s.RejectedRevision = revision
	return s
}

// WithLastTick returns a state whose latest membership tick was at the given time.
func (s State) WithLastTick(at time.Time) State {
	s.LastTick = at
	return s
}

func (m membership) with(i value.Instance) membership {
	if i.State == value.InstanceLive {
		m.notLive = m.notLive.Without(i.ID)
	} else {
		m.notLive = m.notLive.With(i.ID, struct{}{})
	}
	if !i.CanOwnSlots() {
		return m.withoutOwner(i)
	}
	if m.owners.Has(i.ID) {
		return m
	}
	m.owners = m.owners.With(i.ID)
	domain, ok := m.domains.Get(i.FailureDomain)
	if !ok {
		domain = newAssignment(1)
	}
	m.domains = m.domains.With(i.FailureDomain, domain.With(i.ID))
	return m
}

func (m membership) without(i value.Instance) membership {
	m.notLive = m.notLive.Without(i.ID)
	m.pendingUpdates = m.pendingUpdates.Without(i.ID)
	return m.withoutOwner(i)
}

func (m membership) withoutOwner(i value.Instance) membership {
	if !m.owners.Has(i.ID) {
		return m
	}
	m.owners = m.owners.Without(i.ID)
	if domain, ok := m.domains.Get(i.FailureDomain); ok {
		m.domains = m.domains.With(i.FailureDomain, domain.Without(i.ID))
	}
	return m
}
