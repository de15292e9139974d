package state

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Slots is how many slots the fleet divides among its instances.
const Slots = 256

// members is what the state derives from the instances that it knows.
type members struct {
	// owners holds the instances that may own slots.
	owners policy.Rendezvous[value.InstanceID]
	// domains holds the same instances by failure domain.
	domains policy.Table[value.FailureDomain, policy.Rendezvous[value.InstanceID]]
	// unsettled holds the instances that are not live.
	unsettled policy.Table[value.InstanceID, struct{}]
	// rumours counts how often the news of an instance is still to be passed on.
	rumours policy.Table[value.InstanceID, int]
}

func newMembers() members {
	return members{owners: assignment(Slots)}
}

func assignment(slots int) policy.Rendezvous[value.InstanceID] {
	r, err := policy.NewRendezvous[value.InstanceID](policy.RendezvousConfig{Slots: slots})
	if err != nil {
		panic("state: " + err.Error())
	}
	return r
}

// Instance returns the instance of that identifier.
func (s State) Instance(id value.InstanceID) (value.Instance, bool) {
	return s.instances.Get(id)
}

// LiveInstances returns how many of the known instances are live.
func (s State) LiveInstances() int {
	return s.instances.Len() - s.fleet.unsettled.Len()
}

// SlotOf returns the slot that the key belongs to.
func SlotOf(key string) int {
	return int(xxhash.Sum64String(key) % Slots)
}

// Owners returns the assignment of slots to instances.
func (s State) Owners() policy.Rendezvous[value.InstanceID] {
	return s.fleet.owners
}

// Domain returns the instances of the failure domain that may own slots.
func (s State) Domain(d value.FailureDomain) policy.Rendezvous[value.InstanceID] {
	r, ok := s.fleet.domains.Get(d)
	if !ok {
		return assignment(1)
	}
	return r
}

// Unsettled returns the instances that are not live.
func (s State) Unsettled() policy.Table[value.InstanceID, struct{}] {
	return s.fleet.unsettled
}

// Rumours returns how often the news of each instance is still to be passed on.
func (s State) Rumours() policy.Table[value.InstanceID, int] {
	return s.fleet.rumours
}

// WithSelf returns a state in which the instance itself is as given.
func (s State) WithSelf(i value.Instance) State {
	s.Self = i
	return s.WithInstance(i)
}

// WithInstance returns a state that knows the instance as given.
func (s State) WithInstance(i value.Instance) State {
	s.instances = s.instances.With(i.ID, i)
	s.fleet = s.fleet.with(i)
	return s
}

// WithoutInstance returns a state that has forgotten the instance.
func (s State) WithoutInstance(id value.InstanceID) State {
	i, ok := s.instances.Get(id)
	if !ok {
		return s
	}
	s.instances = s.instances.Without(id)
	s.fleet = s.fleet.without(i)
	return s
}

// WithRumour returns a state that will pass on the news of the instance so many times.
func (s State) WithRumour(id value.InstanceID, times int) State {
	if times <= 0 {
		s.fleet.rumours = s.fleet.rumours.Without(id)
		return s
	}
	s.fleet.rumours = s.fleet.rumours.With(id, times)
	return s
}

// WithNewest returns a state that has heard of the configuration revision.
func (s State) WithNewest(revision int64, now time.Time) State {
	if revision <= s.Newest {
		return s
	}
	s.Newest = revision
	if revision > s.Self.Revision && s.Self.Lagging.IsZero() {
		s = s.WithSelf(s.Self.WithLagging(now))
	}
	return s
}

// WithRevision returns a state that has the configuration revision in force.
func (s State) WithRevision(revision int64) State {
	if revision < s.Self.Revision {
		return s
	}
	self := s.Self.WithRevision(revision)
	s.Newest = max(s.Newest, revision)
	if s.Newest == revision {
		self = self.WithLagging(time.Time{})
	}
	return s.WithSelf(self)
}

// WithRejected returns a state in which entries of the revision could not be decoded; zero means none.
func (s State) WithRejected(revision int64) State {
	s.Rejected = revision
	return s
}

// WithTicked returns a state whose membership was last looked after at the given time.
func (s State) WithTicked(at time.Time) State {
	s.Ticked = at
	return s
}

func (m members) with(i value.Instance) members {
	if i.State == value.InstanceLive {
		m.unsettled = m.unsettled.Without(i.ID)
	} else {
		m.unsettled = m.unsettled.With(i.ID, struct{}{})
	}
	if !i.CanOwnSlots() {
		return m.disowned(i)
	}
	if m.owners.Has(i.ID) {
		return m
	}
	m.owners = m.owners.With(i.ID)
	domain, ok := m.domains.Get(i.FailureDomain)
	if !ok {
		domain = assignment(1)
	}
	m.domains = m.domains.With(i.FailureDomain, domain.With(i.ID))
	return m
}

func (m members) without(i value.Instance) members {
	m.unsettled = m.unsettled.Without(i.ID)
	m.rumours = m.rumours.Without(i.ID)
	return m.disowned(i)
}

func (m members) disowned(i value.Instance) members {
	if !m.owners.Has(i.ID) {
		return m
	}
	m.owners = m.owners.Without(i.ID)
	if domain, ok := m.domains.Get(i.FailureDomain); ok {
		m.domains = m.domains.With(i.FailureDomain, domain.Without(i.ID))
	}
	return m
}
