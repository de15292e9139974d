package lease

import (
	"errors"
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/policy"
)

// ErrTermEnded marks an action that was not taken because the lease may have lapsed.
var ErrTermEnded = errors.New("term ended")

// Term is one instance's time in a duty.
type Term struct {
	rule   fleet.LeaseRule
	tenure *policy.Cell[fleet.HeldLease]
}

// Fence returns the fencing token, which grows with each holder of the duty.
func (t Term) Fence() int64 {
	return t.tenure.Get().Fence
}

// Valid reports whether the holder may still act; it is asked before each action.
func (t Term) Valid(now time.Time) bool {
	return t.tenure.Get().Valid(now)
}

// MayOrder reports whether an order to a backend server, begun now, ends well inside the term.
func (t Term) MayOrder(now time.Time) bool {
	return t.tenure.Get().CanSendOrder(t.rule, now)
}

// QuietLeft returns how long to wait before ordering servers that ignore fencing tokens.
func (t Term) QuietLeft(now time.Time) time.Duration {
	return t.tenure.Get().TakeoverDelayLeft(t.rule, now)
}
