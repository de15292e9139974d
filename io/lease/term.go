package lease

import (
	"errors"
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/policy"
)

// ErrTermEnded marks an action that was not taken because the lease may have expired.
var ErrTermEnded = errors.New("term ended")

// Term is the time for which one instance holds a duty; it is safe for concurrent use.
type Term struct {
	rule fleet.LeaseRule
	held *policy.Cell[fleet.HeldLease]
}

// FencingToken returns the fencing token, which grows with each holder of the duty.
func (t Term) FencingToken() int64 {
	return t.held.Get().FencingToken
}

// IsValid reports whether the holder may still act; the duty has to check it before each action.
func (t Term) IsValid(now time.Time) bool {
	return t.held.Get().IsValid(now)
}

// CanSendOrder reports whether an order to a backend server that is sent now ends within the term.
func (t Term) CanSendOrder(now time.Time) bool {
	return t.held.Get().CanSendOrder(t.rule, now)
}

// TakeoverDelayLeft returns how long the holder has to wait before it sends orders to servers that
// ignore fencing tokens.
func (t Term) TakeoverDelayLeft(now time.Time) time.Duration {
	return t.held.Get().TakeoverDelayLeft(t.rule, now)
}
