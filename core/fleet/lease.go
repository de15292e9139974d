package fleet

import (
	"errors"
	"fmt"
	"time"
)

// LeaseRule sets the times of a lease.
type LeaseRule struct {
	// Length is how long the key-value service keeps the lease after a renewal.
	Length time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Margin is how much earlier than the key-value service the holder considers the lease expired. The
	// holder's term thus lasts for Length less Margin.
	Margin time.Duration
	// TakeoverDelay is how long a new holder waits before it sends orders to backend servers that ignore
	// fencing tokens.
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
		return errors.New("lease rule: Length, Renew, Margin and MaxOrderTime must be positive")
	case r.Renew+r.Margin >= r.Length:
		return fmt.Errorf("lease rule: Renew of %s is not shorter than the holder's term of %s", r.Renew, r.Length-r.Margin)
	case r.MaxOrderTime >= r.Length-r.Margin-r.Renew:
		return fmt.Errorf("lease rule: MaxOrderTime of %s does not fit into the rest of the term at a renewal", r.MaxOrderTime)
	case r.TakeoverDelay < r.MaxOrderTime:
		return fmt.Errorf("lease rule: TakeoverDelay of %s is shorter than MaxOrderTime", r.TakeoverDelay)
	}
	return nil
}

// HeldLease is what the holder of a lease knows of it; it is immutable.
type HeldLease struct {
	// FencingToken is the fencing token, which grows with each holder.
	FencingToken int64
	// Since is when the holder sent the request for the lease.
	Since time.Time
	// sentAt is when the holder sent the latest request or renewal.
	sentAt time.Time
	// usable is how long after sentAt the holder's term lasts, in which it may act.
	usable time.Duration
}

// NewHeldLease returns a lease that was granted on a request sent at the given time.
func NewHeldLease(r LeaseRule, fencingToken int64, sentAt time.Time) HeldLease {
	return HeldLease{FencingToken: fencingToken, Since: sentAt, sentAt: sentAt, usable: r.Length - r.Margin}
}

// WithRenewal returns the lease after a renewal that was sent at sentAt and granted for the given time.
//
// The key-value service counts from the arrival of the renewal, which is later, so the holder's term ends
// before the service's lease. A renewal that is answered after the holder's term has ended does not make
// the lease valid again.
func (h HeldLease) WithRenewal(r LeaseRule, sentAt time.Time, granted time.Duration, now time.Time) HeldLease {
	if !h.IsValid(now) {
		return h
	}
	h.sentAt = sentAt
	h.usable = granted - r.Margin
	return h
}

// WithEnd returns the lease after the holder has given it up.
func (h HeldLease) WithEnd() HeldLease {
	h.usable = 0
	return h
}

// IsValid reports whether the holder may act.
func (h HeldLease) IsValid(now time.Time) bool {
	return h.Remaining(now) > 0
}

// Remaining returns how long the holder may still act; it is zero or negative once the term has ended.
//
// The monotonic clock does not advance while a machine is suspended, and the wall clock can be set
// back, so the longer of the two elapsed times counts.
func (h HeldLease) Remaining(now time.Time) time.Duration {
	monotonic := now.Sub(h.sentAt)
	wall := now.Round(0).Sub(h.sentAt.Round(0))
	return h.usable - max(monotonic, wall, 0)
}

// CanSendOrder reports whether an order that is sent now ends within the holder's term even if it takes
// MaxOrderTime.
func (h HeldLease) CanSendOrder(r LeaseRule, now time.Time) bool {
	return h.Remaining(now) > r.MaxOrderTime
}

// TakeoverDelayLeft returns how long the holder must still wait before it sends orders to backend
// servers that ignore fencing tokens, so that its predecessor's last orders have ended by then.
func (h HeldLease) TakeoverDelayLeft(r LeaseRule, now time.Time) time.Duration {
	return h.Since.Add(r.TakeoverDelay).Sub(now)
}
