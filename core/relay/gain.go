package relay

// ConfidenceGain estimates how much higher one model's confidence is than a smaller one's for the
// same requests; confidences are from 0 to 100. The zero value holds no observations.
type ConfidenceGain struct {
	sum    float64
	weight float64
}

const (
	// maxGainWeight bounds the weight of past requests, so that newer ones replace them.
	maxGainWeight = 50
	// priorGain is the gain assumed in advance, with the weight of priorWeight requests, so that a
	// model with few answers is tried.
	priorGain   = 15
	priorWeight = 3
)

// With returns a gain that includes one more request, with the confidences of the smaller and the
// larger model's answers to it.
func (g ConfidenceGain) With(smaller, larger int) ConfidenceGain {
	if g.weight >= maxGainWeight {
		remaining := (maxGainWeight - 1) / g.weight
		g.sum, g.weight = g.sum*remaining, g.weight*remaining
	}
	g.sum += float64(larger - smaller)
	g.weight++
	return g
}

// IsKnown reports whether the observations outweigh the gain that is assumed in advance.
func (g ConfidenceGain) IsKnown() bool {
	return g.weight > priorWeight
}

// Value returns the estimated gain, from -100 to 100.
func (g ConfidenceGain) Value() float64 {
	return (g.sum + priorGain*priorWeight) / (g.weight + priorWeight)
}
