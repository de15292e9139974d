package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// ObserveRuns adds finished attempts to the tests of the roll-outs whose new versions they used.
type ObserveRuns struct {
	Runs []value.Runs
}

// Apply withdraws a version if its attempts break a limit of its roll-out.
func (c ObserveRuns) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	var effects []state.Effect
	for _, runs := range c.Runs {
		r, ok := s.RollOutTo(runs.Version)
		if !ok {
			continue
		}
		var more []state.Effect
		s, more = withdrawOnAlarm(s.WithRuns(r, runs), r, now)
		effects = append(effects, more...)
	}
	return s, effects
}

// withdrawOnAlarm withdraws the roll-out's new version if its tests raise an alarm.
func withdrawOnAlarm(s state.State, r value.RollOut, now time.Time) (state.State, []state.Effect) {
	reason, alarm := s.Watch(r).Tests.Alarm()
	// All instances receive the same ratings; only the owner of the version's hash slot withdraws it.
	if !alarm || !s.Watches(r.ToKey()) {
		return s, nil
	}
	return WithdrawVersion{Version: r.ToKey(), Reason: reason}.Apply(s, now)
}
