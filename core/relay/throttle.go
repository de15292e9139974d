package relay

// Throttle limits how readily requests of a service are passed on to larger models; the zero value
// sets no limit.
//
// It falls while larger models answer late, as more requests would delay all their answers further.
type Throttle struct {
	// withheld is how far the throttle is below 1, from 0 to 1-minThrottle.
	withheld float64
}

const (
	// minThrottle lets some requests through, which show when answers are in time again.
	minThrottle = 0.1
	// throttleRecovery and throttleReduction are the steps after an answer in time and after a late
	// one; they balance when one in four answers of larger models is late.
	throttleRecovery  = 0.03
	throttleReduction = 0.09
)

// WithAnswer returns the throttle after a larger model's answer that began in time or late.
func (t Throttle) WithAnswer(inTime bool) Throttle {
	if inTime {
		t.withheld = max(0, t.withheld-throttleRecovery)
	} else {
		t.withheld = min(1-minThrottle, t.withheld+throttleReduction)
	}
	return t
}

// Value returns the factor by which confidence thresholds are scaled, from minThrottle to 1.
func (t Throttle) Value() float64 {
	return 1 - t.withheld
}
