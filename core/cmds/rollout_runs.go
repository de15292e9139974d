package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// ObserveRuns feeds finished runs to the tests of the roll-outs that bring their versions in.
type ObserveRuns struct {
	Runs []value.Runs
}

// Apply withdraws a version whose runs break a limit of its roll-out.
func (c ObserveRuns) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	var effects []state.Effect
	for _, runs := range c.Runs {
		r, ok := s.RollOutTo(runs.Version)
		if !ok {
			continue
		}
		var more []state.Effect
		s, more = judged(s.WithRuns(r, runs), r, now)
		effects = append(effects, more...)
	}
	return s, effects
}

// judged withdraws the roll-out's new version where its tests raise the alarm.
func judged(s state.State, r value.RollOut, now time.Time) (state.State, []state.Effect) {
	why, alarm := s.Watch(r).Tests.Alarm()
	// All instances see the same ratings; one of them writes the withdrawal.
	if !alarm || !s.Watches(r.ToKey()) {
		return s, nil
	}
	return WithdrawVersion{Version: r.ToKey(), Reason: why}.Apply(s, now)
}
