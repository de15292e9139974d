package relay

// GoodShare estimates the share of a route's requests that one of its models answers well. The zero value holds no
// observations.
type GoodShare struct {
	good   float64
	weight float64
}

const (
	// maxGoodShareWeight bounds the weight of past requests, so that newer ones replace them.
	maxGoodShareWeight = 50
	// badPriorWeight is the weight of the bad answers that are assumed in advance, so that a model counts as good only once
	// there are enough observations of it.
	badPriorWeight = 3
)

// With returns an estimate that includes one more request.
func (s GoodShare) With(isGood bool) GoodShare {
	if s.weight >= maxGoodShareWeight {
		remaining := (maxGoodShareWeight - 1) / s.weight
		s.good, s.weight = s.good*remaining, s.weight*remaining
	}
	if isGood {
		s.good++
	}
	s.weight++
	return s
}

// Value returns the estimated share, from 0 to 1; it is zero without observations.
func (s GoodShare) Value() float64 {
	return s.good / (s.weight + badPriorWeight)
}
