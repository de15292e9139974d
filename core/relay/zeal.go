package relay

// Zeal is how readily larger models are asked for a service, from leastZeal to 1; the zero value is full.
//
// It falls while their answers come too late, as asking more of them then makes all of them later.
type Zeal struct {
	// lost is what is missing to full zeal.
	lost float64
}

const (
	leastZeal = 0.1
	// zealGain and zealLoss balance where one in four of larger models' answers is late.
	zealGain = 0.03
	zealLoss = 0.09
)

// WithAnswer returns the zeal after a larger model's answer that began in time, or did not.
func (z Zeal) WithAnswer(inTime bool) Zeal {
	if inTime {
		z.lost = max(0, z.lost-zealGain)
	} else {
		z.lost = min(1-leastZeal, z.lost+zealLoss)
	}
	return z
}

// Value returns the zeal.
func (z Zeal) Value() float64 {
	return 1 - z.lost
}
