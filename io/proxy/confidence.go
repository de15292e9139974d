package proxy

import (
	"maps"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// modelPair names a smaller and a larger model of a cascade.
type modelPair struct {
	smaller, larger relay.ModelName
}

// routeModel names a model of a route.
type routeModel struct {
	route relay.RouteName
	model relay.ModelName
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

// startAtModel makes the model at the step the first that is asked.
func (h *requestHandler[H]) startAtModel(step int) {
	h.step = step
	// There is no smaller model's answer to compare with.
	h.discarded.step = step
}

// firstStep returns the position of the model that is asked first.
func (h *requestHandler[H]) firstStep() int {
	return query.FirstStep(h.admitted.Route, h.goodShare, h.stepUpThrottle())
}

// stepUpThrottle returns the factor by which the thresholds for larger models are scaled.
func (h *requestHandler[H]) stepUpThrottle() float64 {
	return h.dispatcher.throttles.Get(h.service).Value() * h.openShare()
}

// goodShare returns the share of the route's requests that the model at the step answers well.
func (h *requestHandler[H]) goodShare(step int) relay.GoodShare {
	return h.dispatcher.goodShares.Get(h.routeModel(step))
}

func (h *requestHandler[H]) routeModel(step int) routeModel {
	return routeModel{h.admitted.Route.Name, h.admitted.Route.Models[step]}
}

// learnGoodShares records how well the current model has answered, and how well smaller models would have, as far as the
// gain between them is known. Only routes whose answers can't be dropped need it.
func (a *attemptHandler[H]) learnGoodShares(answer *Answer[H]) {
	route := a.admitted.Route
	if answer.Confidence < 0 || route.IsRepeatable() || !route.IsCascade() {
		return
	}
	a.recordGoodShare(a.step, float64(answer.Confidence))
	for smaller := range a.step {
		if gain := a.confidenceGain(smaller, a.step); gain.IsKnown() {
			a.recordGoodShare(smaller, float64(answer.Confidence)-gain.Value())
		}
	}
}

func (h *requestHandler[H]) recordGoodShare(step int, confidence float64) {
	isGood := query.IsGood(confidence)
	h.dispatcher.goodShares.Cell(h.routeModel(step)).Update(func(s relay.GoodShare) relay.GoodShare { return s.With(isGood) })
}

// tryStepUp discards an answer whose confidence is low, so that a larger model is asked next, and reports
// whether it did. It needs a cascade route whose requests may run again, a response that has not started, and
// budget for the step.
func (a *attemptHandler[H]) tryStepUp(answer *Answer[H]) bool {
	attempts, left := a.attempts.With(query.EndedDiscarded), a.timeLeft()
	if !a.mayRerun(query.RerunStepUp, query.EndedDiscarded, attempts, left) {
		return false
	}
	observed := query.ObservedAnswer{
		Step: a.step, Confidence: answer.Confidence, Attempts: attempts, TimeLeft: left, Throttle: a.stepUpThrottle(),
	}
	next, ok := query.StepUp(a.admitted.Route, observed, a.confidenceGain)
	if !ok || !a.dispatcher.spendBudget(a.service, useStepUp) {
		return false
	}
	a.decision.Throttle = observed.Throttle
	a.discarded = discardedAnswer{step: a.step, confidence: answer.Confidence}
	a.dispatcher.crashes.discards.record(a.job.Request.SharedParts(), a.server.ID, a.dispatcher.config.Now())
	a.load.recordFirstByte(a.dispatcher.config.Now())
	a.decision.FirstByteTime = a.load.firstByteTime
	a.record(DecisionSteppedUp, "LowConfidence", answer.Status, "")
	a.step = next
	return true
}
