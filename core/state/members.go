package state

import (
	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Slots is how many slots the fleet divides among its instances.
const Slots = 256

// members is what the state derives from the instances that it knows.
type members struct {
	owners policy.Rendezvous[value.InstanceID]
}

func newMembers() members {
	owners, err := policy.NewRendezvous[value.InstanceID](policy.RendezvousConfig{Slots: Slots})
	if err != nil {
		panic("state: " + err.Error())
	}
	return members{owners: owners}
}

// Instance returns the instance of that identifier.
func (s State) Instance(id value.InstanceID) (value.Instance, bool) {
	return s.instances.Get(id)
}

// Owners returns the assignment of slots to instances.
func (s State) Owners() policy.Rendezvous[value.InstanceID] {
	return s.fleet.owners
}

// WithSelf returns a state in which the instance itself is as given.
func (s State) WithSelf(i value.Instance) State {
	s.Self = i
	return s.WithInstance(i)
}

// WithInstance returns a state that knows the instance as given.
func (s State) WithInstance(i value.Instance) State {
	s.instances = s.instances.With(i.ID, i)
	if i.Owns() {
		s.fleet.owners = s.fleet.owners.With(i.ID)
		return s
	}
	s.fleet.owners = s.fleet.owners.Without(i.ID)
	return s
}

// WithoutInstance returns a state that has forgotten the instance.
func (s State) WithoutInstance(id value.InstanceID) State {
	s.instances = s.instances.Without(id)
	s.fleet.owners = s.fleet.owners.Without(id)
	return s
}
