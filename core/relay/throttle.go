package relay

// Throttle bounds how readily larger models are asked for a service; the zero value doesn't.
//
// It closes while their answers come too late, as asking more of them then makes all of them later.
type Throttle struct {
	// lost is the part that is withheld, from 0 to 1-leastThrottle.
	lost float64
}

const (
	leastThrottle = 0.1
	// throttleRise and throttleFall balance where one in four of larger models' answers is late.
	throttleRise = 0.03
	throttleFall = 0.09
)

// WithAnswer returns the throttle after a larger model's answer that began in time, or did not.
func (t Throttle) WithAnswer(inTime bool) Throttle {
	if inTime {
		t.lost = max(0, t.lost-throttleRise)
	} else {
		t.lost = min(1-leastThrottle, t.lost+throttleFall)
	}
	return t
}

// Value returns the part that thresholds are scaled to, from leastThrottle to 1.
func (t Throttle) Value() float64 {
	return 1 - t.lost
}
