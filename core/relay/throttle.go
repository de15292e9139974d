package relay

// Throttle scales the confidence thresholds of a service below which an answer is dropped and its
// request escalated to a larger model; the zero value leaves them as they are.
//
// Each late or missing answer of a larger model lowers it, because more requests would delay all their
// answers further; each answer in time raises it.
type Throttle struct {
	// reduction is how far the throttle's value is below 1, from 0 to 1-minThrottle.
	reduction float64
}

const (
	// minThrottle is above zero so that some requests are still escalated: their answers show when
	// larger models are in time again.
	minThrottle = 0.1
	// throttleRecovery is added after an answer in time and throttleReduction subtracted after a late
	// one; the two balance when one in four answers of larger models is late.
	throttleRecovery  = 0.03
	throttleReduction = 0.09
)

// WithAnswer returns the throttle after a larger model's answer that began in time or late.
func (t Throttle) WithAnswer(inTime bool) Throttle {
	if inTime {
		t.reduction = max(0, t.reduction-throttleRecovery)
	} else {
		t.reduction = min(1-minThrottle, t.reduction+throttleReduction)
	}
	return t
}

// Value returns the factor by which confidence thresholds are scaled, from minThrottle to 1.
func (t Throttle) Value() float64 {
	return 1 - t.reduction
}
