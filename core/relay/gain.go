package relay

// Gain is how much surer of its answers one model is than a smaller one is of its own to the same
// requests, on the scale from 0 to 100; the zero value has seen nothing.
type Gain struct {
	sum    float64
	weight float64
}

const (
	// gainMemory is how many requests a gain stands for at most.
	gainMemory = 50
	// presumedGain is taken for a model that hardly answered yet, with the weight of presumedWeight
	// requests, so that each model is tried.
	presumedGain   = 15
	presumedWeight = 3
)

// With returns a gain that has also seen a request that the smaller model answered with one
// confidence and the larger one with another.
func (g Gain) With(smaller, larger int) Gain {
	if g.weight >= gainMemory {
		kept := (gainMemory - 1) / g.weight
		g.sum, g.weight = g.sum*kept, g.weight*kept
	}
	g.sum += float64(larger - smaller)
	g.weight++
	return g
}

// Value returns the gain, from -100 to 100.
func (g Gain) Value() float64 {
	return (g.sum + presumedGain*presumedWeight) / (g.weight + presumedWeight)
}
