package share

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

const (
	// generatedWeight is the cost of a generated token relative to that of a prompt token that is read. Prices have the
	// same ratio.
	generatedWeight = 4
	// recentHalfLife is short enough to follow a surge within a few seconds, and longer than the time in which reports
	// of all instances arrive.
	recentHalfLife = 3 * time.Second
	// usualHalfLife keeps a surge of some seconds from counting as usual.
	usualHalfLife = 2 * time.Minute
	// idleRate is the usual rate, in tokens a second, below which an account is forgotten.
	idleRate = 0.01
)

// Cost returns the weighted tokens of a request that reads and generates the given numbers.
func Cost(read, generated int) float64 {
	return float64(max(1, read+generatedWeight*generated))
}

// Use is what one client account has asked for lately at one instance; the zero value is nothing.
type Use struct {
	offered  policy.DecayingRate
	admitted policy.DecayingRate
	usual    policy.DecayingRate
}

// With returns the use after a request of the cost, which was admitted or refused.
func (u Use) With(cost float64, admitted bool, at time.Time) Use {
	u.offered = u.offered.With(recentHalfLife, cost, at)
	if admitted {
		u.admitted = u.admitted.With(recentHalfLife, cost, at)
		u.usual = u.usual.With(usualHalfLife, cost, at)
	}
	return u
}

// IsIdle reports whether the use no longer matters.
func (u Use) IsIdle(now time.Time) bool {
	return u.offered.Value(recentHalfLife, now)+u.usual.Value(usualHalfLife, now) < idleRate
}

// Report returns the account's rates at the time.
func (u Use) Report(account relay.AccountName, now time.Time) relay.AccountUse {
	return relay.AccountUse{
		Account: account, Offered: u.offered.Value(recentHalfLife, now), Admitted: u.admitted.Value(recentHalfLife, now),
		Usual: u.usual.Value(usualHalfLife, now),
	}
}
