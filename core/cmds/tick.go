package cmds

import (
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Tick applies the membership time-outs: suspicions expire and instances that are gone are removed.
type Tick struct {
	Timing fleet.Timing
}

// Apply restarts all suspicion time-outs after a pause of this instance, because it may have missed
// refutations meanwhile.
func (c Tick) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	paused := c.Timing.WasPaused(s.LastTick, now)
	s = s.WithLastTick(now)
	var effects []state.Effect
	for id := range s.NotLive().All() {
		i, ok := s.Instance(id)
		if !ok || id == s.Self.ID {
			continue
		}
		if paused && i.State == value.InstanceSuspected {
			s = s.WithInstance(i.WithSince(now))
			continue
		}
		var more []state.Effect
		s, more = c.applyTimeouts(s, i, now)
		effects = append(effects, more...)
	}
	return s, effects
}

// applyTimeouts removes the instance or moves it to the state that follows, if its time-out is over.
func (c Tick) applyTimeouts(s state.State, i value.Instance, now time.Time) (state.State, []state.Effect) {
	if c.Timing.IsRemovable(i, now) {
		return s.WithoutInstance(i.ID), nil
	}
	next, ok := c.Timing.Expired(i, s.Instances().Len(), now)
	if !ok {
		return s, nil
	}
	return updateAndDisseminate(s, fleet.Merge(i, i.WithState(next), now))
}
