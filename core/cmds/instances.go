package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// SyncInstances merges the platform's complete instance list, which may lag behind.
type SyncInstances struct {
	Instances []value.Instance
}

// Apply adds unknown instances and accepts that one is leaving. Because the list may lag behind, it
// marks no known instance as live or gone: that is left to probes.
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
		s, more = c.merge(s, i, now)
		effects = append(effects, more...)
	}
	if added := s.Instances().Len() - before; added > 0 {
		effects = append(effects, state.RecordDecision{Event: "InstancesListed", Subject: strconv.Itoa(added)})
	}
	for id, i := range s.Instances().All() {
		if i.Listed && !listed[id] {
			s = s.WithInstance(i.WithListed(false))
		}
	}
	return s, effects
}

// merge merges one entry of the instance list.
func (c SyncInstances) merge(s state.State, listed value.Instance, now time.Time) (state.State, []state.Effect) {
	known, ok := s.Instance(listed.ID)
	if !ok {
		return s.WithInstance(withoutObservations(listed, now).WithListed(true)), nil
	}
	if !known.Listed {
		known = known.WithListed(true)
		s = s.WithInstance(known)
	}
	update := known.WithState(listed.State)
	if listed.State != value.InstanceLeaving || !fleet.Supersedes(update, known) {
		return s, nil
	}
	return updateAndDisseminate(s, fleet.Merge(known, update, now))
}
