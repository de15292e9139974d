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
	// Quiet is how long a new holder waits before it sends orders to backend servers that ignore fencing
	// tokens.
	Quiet time.Duration
	// Order is the longest time that one order to a backend server may take.
	Order time.Duration
}

// DefaultLeaseRule returns the times that the calculations in docs/FLEET.md are based on.
func DefaultLeaseRule() LeaseRule {
	return LeaseRule{
		Length: 12 * time.Second,
		Renew:  4 * time.Second,
		Margin: 2 * time.Second,
		Quiet:  6 * time.Second,
		Order:  3 * time.Second,
	}
}

// Check returns an error that names what makes the rule unsafe.
func (r LeaseRule) Check() error {
	switch {
	case r.Length <= 0 || r.Renew <= 0 || r.Margin <= 0 || r.Order <= 0:
		return errors.New("lease rule: Length, Renew, Margin and Order must be positive")
	case r.Renew+r.Margin >= r.Length:
		return fmt.Errorf("lease rule: renewal interval of %s is not shorter than the holder's term of %s", r.Renew, r.Length-r.Margin)
	case r.Order >= r.Length-r.Margin-r.Renew:
		return fmt.Errorf("lease rule: order time of %s does not fit into the rest of the term at a renewal", r.Order)
	case r.Quiet < r.Order:
		return fmt.Errorf("lease rule: quiet time of %s is shorter than the order time", r.Quiet)
	}
	return nil
}

// Tenure is the holder's view of its own lease; it is immutable.
type Tenure struct {
	// Fence is the fencing token, which grows with each holder.
	Fence int64
	// Since is when the holder took the lease.
	Since  time.Time
	sentAt time.Time
	usable time.Duration
}

// NewTenure returns the tenure of a lease whose request was sent at the given time.
func NewTenure(r LeaseRule, fence int64, sentAt time.Time) Tenure {
	return Tenure{Fence: fence, Since: sentAt, sentAt: sentAt, usable: r.Length - r.Margin}
}

// WithRenewal returns the tenure after a renewal that was sent at sentAt, with the lease granted for the
// given time.
//
// The store counts from the arrival of the renewal, which is later, so the holder's term ends first.
// A renewal that is answered after the tenure has ended does not make it valid again.
func (t Tenure) WithRenewal(r LeaseRule, sentAt time.Time, granted time.Duration, now time.Time) Tenure {
	if !t.Valid(now) {
		return t
	}
	t.sentAt = sentAt
	t.usable = granted - r.Margin
	return t
}

// WithEnd returns the tenure after the holder gave the lease up.
func (t Tenure) WithEnd() Tenure {
	t.usable = 0
	return t
}

// Valid reports whether the holder may act.
func (t Tenure) Valid(now time.Time) bool {
	return t.Left(now) > 0
}

// Left returns how long the holder may still act; it is zero or negative once the tenure has ended.
//
// The monotonic clock does not advance while a machine is suspended, and the wall clock can be set
// back, so the longer of the two elapsed times counts.
func (t Tenure) Left(now time.Time) time.Duration {
	monotonic := now.Sub(t.sentAt)
	wall := now.Round(0).Sub(t.sentAt.Round(0))
	return t.usable - max(monotonic, wall, 0)
}

// MayOrder reports whether an order sent now ends within the tenure, even if it takes the longest time.
func (t Tenure) MayOrder(r LeaseRule, now time.Time) bool {
	return t.Left(now) > r.Order
}

// QuietLeft returns how long the holder must still wait before it sends orders to backend servers that
// ignore fencing tokens, so that its predecessor's last orders have ended by then.
func (t Tenure) QuietLeft(r LeaseRule, now time.Time) time.Duration {
	return t.Since.Add(r.Quiet).Sub(now)
}
