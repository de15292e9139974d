package cmds

import (
	"slices"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// WithdrawVersion takes a version out of service for good and ends the roll-outs that bring it in.
type WithdrawVersion struct {
	Version value.VersionKey
	Reason  value.Reason
}

// Apply is idempotent; the version receives no new work from the next snapshot on.
func (c WithdrawVersion) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	if _, done := s.Withdrawal(c.Version); done {
		return s, nil
	}
	w := value.Withdrawal{Version: c.Version, Reason: c.Reason, At: now}
	effects := []state.Effect{
		state.Decided{What: "VersionWithdrawn", Subject: string(c.Version), Reason: c.Reason},
		state.KeepWithdrawal{Withdrawal: w},
	}
	for _, was := range s.Positions(c.Version) {
		p, err := steps.Withdraw(was, c.Reason, now)
		if err != nil {
			// It is withdrawn already.
			continue
		}
		s = s.WithProgress(p)
		effects = append(effects, state.KeepProgress{Progress: p})
	}
	return s.WithWithdrawal(w), effects
}

// InstallWithdrawal puts in force what another instance has withdrawn.
type InstallWithdrawal struct {
	Withdrawal value.Withdrawal
}

// Apply ends the version's roll-outs as well, so that a lost position leaves none half done.
func (c InstallWithdrawal) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	next, effects := WithdrawVersion{Version: c.Withdrawal.Version, Reason: c.Withdrawal.Reason}.Apply(s, now)
	return next, onlyDecided(effects)
}

// onlyDecided drops the wishes to keep what another instance keeps already: a large fleet would
// otherwise ask the key-value service at once.
func onlyDecided(effects []state.Effect) []state.Effect {
	return slices.DeleteFunc(effects, func(e state.Effect) bool {
		_, decided := e.(state.Decided)
		return !decided
	})
}
