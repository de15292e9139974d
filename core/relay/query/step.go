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
}

// steppedBelow is the confidence, from 0 to 100, below which a larger model is asked.
const steppedBelow = 40

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

// StepUp returns the position of the larger model to ask, and whether the answer is dropped for it.
func StepUp(r relay.Route, a Answered) (int, bool) {
	if a.Step >= len(r.Models)-1 || a.Confidence < 0 || a.Sends.Run >= r.Attempts {
		return 0, false
	}
	if a.Left < r.Objective/2 {
		return 0, false
	}
	return len(r.Models) - 1, a.Confidence < steppedBelow
}
