package query

import (
	"time"

	"endivehitch/core/relay"
)

// ObservedAnswer is what the router knows of a model's answer before the caller has received any of
// it.
type ObservedAnswer struct {
	// Step is the answering model's position among the route's models.
	Step int
	// Confidence is the model's confidence in its answer, from 0 to 100; negative if not reported.
	Confidence int
	// Attempts counts the request's attempts, this one included.
	Attempts RequestAttempts
	// TimeLeft is the time left until the request's deadline.
	TimeLeft time.Duration
	// Throttle is the present value of the service's relay.Throttle, from 0 to 1.
	Throttle float64
}

const (
	// goodConfidence is the confidence from which an answer is expected to be good.
	goodConfidence = 52
	// escalateBelow is the confidence below which an answer is dropped if a larger model, other than
	// the largest, is expected to reach goodConfidence. If none is, only the largest model is left, and
	// the answer is dropped below escalateToLargestBelow. That limit is lower, because the largest
	// model costs its servers many times what the others do. The throttle scales both limits.
	escalateBelow          = 56
	escalateToLargestBelow = 40
)

// GainLookup returns the confidence gain between the models at two steps of a route.
type GainLookup func(from, to int) relay.ConfidenceGain

// largerModelRankOffset is added to the rank of attempts at larger models: they are less urgent.
const largerModelRankOffset = 3

// Priority returns the priority of an attempt at the model at the step, 0 being the most urgent:
// the short attempts at the first model go before the long ones at larger models.
func Priority(rank, step int) int {
	if step > 0 {
		return rank + largerModelRankOffset
	}
	return rank
}

const (
	// minGoodShare is the share of a route's requests that a model other than the largest must be expected to
	// answer well to be the first model of requests that may run once. The throttle scales it, but not below
	// leastGoodShare.
	minGoodShare   = 0.9
	leastGoodShare = 0.5
)

// GoodShareLookup returns the share of a route's requests that the model at the step answers well.
type GoodShareLookup func(step int) relay.GoodShare

// FirstStep returns the position of the model that is asked first. It is the smallest if its answer can be
// dropped for a larger model's. A request that may run once keeps its first answer, so it goes to the smallest
// model that is known to answer well often enough, or else to the largest.
func FirstStep(route relay.Route, goodShares GoodShareLookup, throttle float64) int {
	if route.IsRepeatable() || !route.IsCascade() {
		return 0
	}
	largest := len(route.Models) - 1
	needed := max(leastGoodShare, minGoodShare*throttle)
	for step := range largest {
		if goodShares(step).Value() >= needed {
			return step
		}
	}
	return largest
}

// IsGood reports whether an answer with the confidence is expected to be good.
func IsGood(confidence float64) bool {
	return confidence >= goodConfidence
}

// StepUp returns the position of the larger model to escalate to, and whether the answer is dropped
// for that model's. The model is the smallest that is expected to reach goodConfidence, or else the
// largest. An answer is dropped only if its request may run again, it reports its confidence, there is a
// larger model, the route allows another attempt, and at least half of the route's latency objective is
// left until the deadline.
func StepUp(route relay.Route, answer ObservedAnswer, gains GainLookup) (int, bool) {
	if !MayRerun(route, Rerun{Kind: RerunStepUp, Ending: EndedDiscarded, Attempts: answer.Attempts, Left: answer.TimeLeft}) {
		return 0, false
	}
	if answer.Step >= len(route.Models)-1 || answer.Confidence < 0 {
		return 0, false
	}
	largest := len(route.Models) - 1
	for step := answer.Step + 1; step < largest; step++ {
		if IsGood(float64(answer.Confidence) + gains(answer.Step, step).Value()) {
			return step, float64(answer.Confidence) < escalateBelow*answer.Throttle
		}
	}
	return largest, float64(answer.Confidence) < escalateToLargestBelow*answer.Throttle
}
