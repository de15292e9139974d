package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// ObserveAttempts adds finished attempts to the tests of the roll-outs whose new versions they used.
type ObserveAttempts struct {
	Counts []value.AttemptCounts
}

// Apply withdraws a version if its attempts break a limit of its roll-out.
func (c ObserveAttempts) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	var effects []state.Effect
	for _, counts := range c.Counts {
		r, ok := s.RollOutTo(counts.Version)
		if !ok {
			continue
		}
		var more []state.Effect
		s, more = withdrawOnAlarm(s.WithAttemptCounts(r, counts), r, now)
		effects = append(effects, more...)
	}
	return s, effects
}

// withdrawOnAlarm withdraws the roll-out's new version if its tests raise an alarm.
func withdrawOnAlarm(s state.State, r value.RollOut, now time.Time) (state.State, []state.Effect) {
	reason, alarm := s.RollOutTests(r).Sequential.Alarm()
	// All instances receive the same ratings, and the owner of the version's hash slot also the attempts;
	// only the owner withdraws the version.
	if !alarm || !s.DecidesWithdrawal(r.ToKey()) {
		return s, nil
	}
	return WithdrawVersion{Version: r.ToKey(), Reason: reason}.Apply(s, now)
}
