package proxy

import (
	"maps"

	"endivehitch/core/relay"
)

// modelPair names a smaller and a larger model of a cascade.
type modelPair struct {
	smaller, larger relay.ModelName
}

// discardedAnswer is an answer that was discarded for its low confidence; step is the index of the model
// that gave it.
type discardedAnswer struct {
	step       int
	confidence int
}

// confidenceGain returns how much more confident the larger model is than the smaller one, as observed by
// this instance; both are indexes in the route's models.
func (h *requestHandler[H]) confidenceGain(smaller, larger int) relay.ConfidenceGain {
	models := h.admitted.Route.Models
	return h.dispatcher.confidenceGains.Get()[modelPair{models[smaller], models[larger]}]
}

// learnConfidenceGain sets the decision's confidence to the answer's. If a smaller model's answer was
// discarded, it also records how much more confident the current model is. It skips that once the
// response has started, since the answer then only continues an earlier one. Until an answer is
// discarded, both steps are zero.
func (a *attemptHandler[H]) learnConfidenceGain(answer *Answer[H]) {
	a.decision.Confidence = answer.Confidence
	if answer.Confidence < 0 || a.responseStarted || a.step <= a.discarded.step {
		return
	}
	models := a.admitted.Route.Models
	pair := modelPair{models[a.discarded.step], models[a.step]}
	a.dispatcher.confidenceGains.Update(func(all map[modelPair]relay.ConfidenceGain) map[modelPair]relay.ConfidenceGain {
		next := make(map[modelPair]relay.ConfidenceGain, len(all)+1)
		maps.Copy(next, all)
		next[pair] = all[pair].With(a.discarded.confidence, answer.Confidence)
		return next
	})
}
