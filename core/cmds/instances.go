package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// SyncInstances takes in a whole reading of the platform's instance list, which is late.
type SyncInstances struct {
	Instances []value.Instance
}

// Apply adds instances that were unknown and believes that one is leaving, but
// leaves it to probes to say who is alive.
func (c SyncInstances) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	listed := make(map[value.InstanceID]bool, len(c.Instances))
	before := s.Instances().Len()
	var effects []state.Effect
	for _, i := range c.Instances {
		listed[i.ID] = true
		if i.ID == s.Self.ID {
			continue
		}
		var more []state.Effect
		s, more = c.take(s, i, now)
		effects = append(effects, more...)
	}
	if added := s.Instances().Len() - before; added > 0 {
		effects = append(effects, state.Decided{What: "InstancesListed", Subject: strconv.Itoa(added)})
	}
	for id, i := range s.Instances().All() {
		if i.Listed && !listed[id] {
			s = s.WithInstance(i.WithListed(false))
		}
	}
	return s, effects
}

func (c SyncInstances) take(s state.State, listed value.Instance, now time.Time) (state.State, []state.Effect) {
	known, ok := s.Instance(listed.ID)
	if !ok {
		return s.WithInstance(fresh(listed, now).WithListed(true)), nil
	}
	if !known.Listed {
		known = known.WithListed(true)
		s = s.WithInstance(known)
	}
	news := known.WithState(listed.State)
	if listed.State != value.InstanceLeaving || !fleet.Supersedes(news, known) {
		return s, nil
	}
	return settle(s, fleet.Merge(known, news, now))
}
