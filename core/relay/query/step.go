package query

import (
	"time"

	"endivehitch/core/relay"
)

// Answered is what the router knows of an answer before the caller has received any of it.
type Answered struct {
	// Step is the position of the model that answers among the route's models.
	Step int
	// Confidence is the model's opinion of its own answer, from 0 to 100; negative means unsaid.
	Confidence int
	// Sends counts the request's runs, this one included.
	Sends Sends
	// Left is how much of the caller's patience is left.
	Left time.Duration
	// Throttle is how readily larger models are asked at present, from 0 to 1.
	Throttle float64
}

const (
	// sureFrom is the confidence, from 0 to 100, from which an answer is expected to be good.
	sureFrom = 52
	// doubtedBelow is the confidence below which a model is asked that is expected to be sure, and
	// steppedBelow the one below which the largest model is asked where none between is. The largest
	// costs its servers many times what the others do, so it is asked only in greater doubt.
	doubtedBelow = 56
	steppedBelow = 40
)

// Gains looks up how much surer the model at one step of a route is than the model at another.
type Gains func(from, to int) relay.Gain

// largerLater is how much less urgent a run of a larger model is than the first one.
const largerLater = 3

// Priority returns the priority of a run of the model at the step, 0 being the most urgent: the
// short runs of the first model go before the long ones of larger models.
func Priority(rank, step int) int {
	if step > 0 {
		return rank + largerLater
	}
	return rank
}

// StepUp returns the position of the larger model to ask, and whether the answer is dropped for it:
// the smallest one that is expected to be sure of its answer, or else the largest.
func StepUp(r relay.Route, a Answered, gains Gains) (int, bool) {
	if a.Step >= len(r.Models)-1 || a.Confidence < 0 || a.Sends.Run >= r.Attempts {
		return 0, false
	}
	if a.Left < r.Objective/2 {
		return 0, false
	}
	largest := len(r.Models) - 1
	for step := a.Step + 1; step < largest; step++ {
		if float64(a.Confidence)+gains(a.Step, step).Value() >= sureFrom {
			return step, float64(a.Confidence) < doubtedBelow*a.Throttle
		}
	}
	return largest, float64(a.Confidence) < steppedBelow*a.Throttle
}
