package cmds

import (
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Tick lets time pass for the membership: suspicions end and instances that are gone are forgotten.
type Tick struct {
	Timing fleet.Timing
}

// Apply gives all suspicions their whole time anew after a pause of the instance itself,
// because the refutations have not been heard meanwhile.
func (c Tick) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	paused := c.Timing.Paused(s.LastTick, now)
	s = s.WithTick(now)
	var effects []state.Effect
	for id := range s.Unsettled().All() {
		i, ok := s.Instance(id)
		if !ok || id == s.Self.ID {
			continue
		}
		if paused && i.State == value.InstanceSuspected {
			s = s.WithInstance(i.WithSince(now))
			continue
		}
		var more []state.Effect
		s, more = c.age(s, i, now)
		effects = append(effects, more...)
	}
	return s, effects
}

func (c Tick) age(s state.State, i value.Instance, now time.Time) (state.State, []state.Effect) {
	if c.Timing.Forgets(i, now) {
		return s.WithoutInstance(i.ID), nil
	}
	next, ok := c.Timing.Expired(i, s.Instances().Len(), now)
	if !ok {
		return s, nil
	}
	return settle(s, fleet.Merge(i, i.WithState(next), now))
}
