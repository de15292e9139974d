package cmds

import (
	"slices"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// WithdrawVersion takes a version out of service permanently and ends the roll-outs that introduce it.
type WithdrawVersion struct {
	Version value.VersionKey
	Reason  value.Reason
}

// Apply is idempotent. From the next snapshot on, the version receives no new work.
func (c WithdrawVersion) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	if _, done := s.Withdrawal(c.Version); done {
		return s, nil
	}
	w := value.Withdrawal{Version: c.Version, Reason: c.Reason, At: now}
	effects := []state.Effect{
		state.RecordDecision{Event: "VersionWithdrawn", Subject: string(c.Version), Reason: c.Reason},
		state.StoreWithdrawal{Withdrawal: w},
	}
	for _, position := range s.Positions(c.Version) {
		p, err := steps.Withdraw(position, c.Reason, now)
		if err != nil {
			// The roll-out is withdrawn already.
			continue
		}
		s = s.WithProgress(p)
		effects = append(effects, state.StoreProgress{Progress: p})
	}
	return s.WithWithdrawal(w), effects
}

// InstallWithdrawal puts the withdrawal of a version by another instance in force.
type InstallWithdrawal struct {
	Withdrawal value.Withdrawal
}

// Apply ends the version's roll-outs as well, so that none stays staged here if the withdrawn position
// of the roll-out was not stored or has not arrived.
func (c InstallWithdrawal) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	next, effects := WithdrawVersion{Version: c.Withdrawal.Version, Reason: c.Withdrawal.Reason}.Apply(s, now)
	return next, onlyLogEffects(effects)
}

// onlyLogEffects drops the effects that store values, which another instance has stored already:
// otherwise all instances of a large fleet would write to the key-value service at the same time.
func onlyLogEffects(effects []state.Effect) []state.Effect {
	return slices.DeleteFunc(effects, func(e state.Effect) bool {
		_, isLog := e.(state.RecordDecision)
		return !isLog
	})
}
