package fleet

import (
	"errors"
	"fmt"
	"time"
)

// LeaseRule sets the times of a lease.
type LeaseRule struct {
	// Length is how long the service keeps the lease after a renewal.
	Length time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Margin is how much earlier than the service the holder takes the lease for ended.
	Margin time.Duration
	// Quiet is how long a new holder waits before it orders servers that ignore fencing tokens.
	Quiet time.Duration
	// Order is how long one order may take.
	Order time.Duration
}

// DefaultLeaseRule returns the times that docs/FLEET.md is worked out for.
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
		return errors.New("lease rule: a time is missing")
	case r.Renew+r.Margin >= r.Length:
		return fmt.Errorf("lease rule: renewing every %s is too late for %s", r.Renew, r.Length-r.Margin)
	case r.Order >= r.Length-r.Margin-r.Renew:
		return fmt.Errorf("lease rule: an order of %s does not fit between renewals", r.Order)
	case r.Quiet < r.Order:
		return fmt.Errorf("lease rule: a wait of %s is shorter than an order", r.Quiet)
	}
	return nil
}

// Tenure is what a holder knows of its own lease; it is immutable.
type Tenure struct {
	// Fence grows with each holder.
	Fence int64
	// Since is when the holder took the lease.
	Since time.Time
	sent  time.Time
	lasts time.Duration
}

// NewTenure returns the tenure of a lease that was asked for at the time given.
func NewTenure(r LeaseRule, fence int64, sent time.Time) Tenure {
	return Tenure{Fence: fence, Since: sent, sent: sent, lasts: r.Length - r.Margin}
}

// WithRenewal returns the tenure after a renewal that was sent at the time given, and granted for so long.
//
// The service counts from when the renewal arrived, which is later, so the holder ends first.
// A renewal that is answered only after the tenure has ended does not bring it back to life.
func (t Tenure) WithRenewal(r LeaseRule, sent time.Time, granted time.Duration, now time.Time) Tenure {
	if !t.Valid(now) {
		return t
	}
	t.sent = sent
	t.lasts = granted - r.Margin
	return t
}

// WithEnd returns the tenure after the holder gave the lease up.
func (t Tenure) WithEnd() Tenure {
	t.lasts = 0
	return t
}

// Valid reports whether the holder may act.
func (t Tenure) Valid(now time.Time) bool {
	return t.Left(now) > 0
}

// Left returns for how long the holder may act, which is negative once it may not.
//
// The monotonic clock stands still while a machine is suspended and the wall
// clock can be set back, so the one that has gone further counts.
func (t Tenure) Left(now time.Time) time.Duration {
	monotonic := now.Sub(t.sent)
	wall := now.Round(0).Sub(t.sent.Round(0))
	return t.lasts - max(monotonic, wall, 0)
}

// MayOrder reports whether an order begun now ends well inside the tenure.
func (t Tenure) MayOrder(r LeaseRule, now time.Time) bool {
	return t.Left(now) > r.Order
}

// QuietLeft returns how long the holder must wait before it orders servers that ignore fencing tokens,
// so that its predecessor's last orders have ended.
func (t Tenure) QuietLeft(r LeaseRule, now time.Time) time.Duration {
	return t.Since.Add(r.Quiet).Sub(now)
}
