package fleet

import (
	"errors"
	"fmt"
	"time"
)

// LeaseRule sets the times of a lease.
type LeaseRule struct {
	// Length is how long the key-value store keeps the lease after a renewal.
	Length time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Margin is how much earlier than the store the holder considers the lease expired.
	Margin time.Duration
	// TakeoverDelay is how long a new holder waits before it sends orders to backend servers that ignore fencing
	// tokens.
	TakeoverDelay time.Duration
	// MaxOrderTime is the longest time that one order to a backend server may take.
	MaxOrderTime time.Duration
}

// DefaultLeaseRule returns the times that the calculations in docs/FLEET.md are based on.
func DefaultLeaseRule() LeaseRule {
	return LeaseRule{
		Length:        12 * time.Second,
		Renew:         4 * time.Second,
		Margin:        2 * time.Second,
		TakeoverDelay: 6 * time.Second,
		MaxOrderTime:  3 * time.Second,
	}
}

// Check returns an error that names what makes the rule unsafe.
func (r LeaseRule) Check() error {
	switch {
	case r.Length <= 0 || r.Renew <= 0 || r.Margin <= 0 || r.MaxOrderTime <= 0:
		return errors.New("lease rule: Length, Renew, Margin and Order must be positive")
	case r.Renew+r.Margin >= r.Length:
		return fmt.Errorf("lease rule: renewal interval of %s is not shorter than the holder's term of %s", r.Renew, r.Length-r.Margin)
	case r.MaxOrderTime >= r.Length-r.Margin-r.Renew:
		return fmt.Errorf("lease rule: order time of %s does not fit into the rest of the term at a renewal", r.MaxOrderTime)
	case r.TakeoverDelay < r.MaxOrderTime:
		return fmt.Errorf("lease rule: quiet time of %s is shorter than the order time", r.TakeoverDelay)
	}
	return nil
}

// HeldLease is the holder's view of its own lease; it is immutable.
type HeldLease struct {
	// Fence is the fencing token, which grows with each holder.
	Fence int64
	// Since is when the holder took the lease.
	Since  time.Time
	sentAt time.Time
	usable time.Duration
}

// NewHeldLease returns the tenure of a lease whose request was sent at the given time.
func NewHeldLease(r LeaseRule, fence int64, sentAt time.Time) HeldLease {
	return HeldLease{Fence: fence, Since: sentAt, sentAt: sentAt, usable: r.Length - r.Margin}
}

// WithRenewal returns the tenure after a renewal that was sent at sentAt, with the lease granted for the
// given time.
//
// The store counts from the arrival of the renewal, which is later, so the holder's term ends first.
// A renewal that is answered after the tenure has ended does not make it valid again.
func (t HeldLease) WithRenewal(r LeaseRule, sentAt time.Time, granted time.Duration, now time.Time) HeldLease {
	if !t.Valid(now) {
		return t
	}
	t.sentAt = sentAt
	t.usable = granted - r.Margin
	return t
}

// WithEnd returns the tenure after the holder gave the lease up.
func (t HeldLease) WithEnd() HeldLease {
	t.usable = 0
	return t
}

// Valid reports whether the holder may act.
func (t HeldLease) Valid(now time.Time) bool {
	return t.Remaining(now) > 0
}

// Remaining returns how long the holder may still act; it is zero or negative once the tenure has ended.
//
// The monotonic clock does not advance while a machine is suspended, and the wall clock can be set
// back, so the longer of the two elapsed times counts.
func (t HeldLease) Remaining(now time.Time) time.Duration {
	monotonic := now.Sub(t.sentAt)
	wall := now.Round(0).Sub(t.sentAt.Round(0))
	return t.usable - max(monotonic, wall, 0)
}

// CanSendOrder reports whether an order sent now ends within the tenure, even if it takes the longest time.
func (t HeldLease) CanSendOrder(r LeaseRule, now time.Time) bool {
	return t.Remaining(now) > r.MaxOrderTime
}

// TakeoverDelayLeft returns how long the holder must still wait before it sends orders to backend servers that
// ignore fencing tokens, so that its predecessor's last orders have ended by then.
func (t HeldLease) TakeoverDelayLeft(r LeaseRule, now time.Time) time.Duration {
	return t.Since.Add(r.TakeoverDelay).Sub(now)
}
