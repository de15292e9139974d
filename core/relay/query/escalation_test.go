package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

func cascade(rule relay.RetryRule) relay.Route {
	return relay.Route{Repeat: rule, Models: []relay.ModelName{"s", "m", "l"}, Attempts: 3, Objective: time.Second}
}

// Guards against a second run of a request that may run once, whose answer was dropped for a larger model's.
func TestAnswerOfARequestThatMayRunOnceIsNotDropped(t *testing.T) {
	answer := query.ObservedAnswer{Confidence: 10, Attempts: query.RequestAttempts{All: 1, Run: 1}, TimeLeft: 5 * time.Second, Throttle: 1}
	for rule, isDropped := range map[relay.RetryRule]bool{relay.RetryNever: false, relay.RetryAlways: true, relay.RetryResuming: true} {
		_, ok := query.StepUp(cascade(rule), answer, func(int, int) relay.ConfidenceGain { return relay.ConfidenceGain{} })
		assert.Equal(t, ok, isDropped, "rule %d", rule)
	}
}

// Guards against a poor answer that can't be improved on, because a model that is too small was asked.
func TestRequestThatMayRunOnceStartsAtAModelThatAnswersWell(t *testing.T) {
	var good, mixed, poor relay.GoodShare
	for i := range 50 {
		good, mixed, poor = good.With(true), mixed.With(i%4 != 0), poor.With(i%4 == 0)
	}
	first := func(rule relay.RetryRule, throttle float64, shares ...relay.GoodShare) int {
		return query.FirstStep(cascade(rule), func(step int) relay.GoodShare { return shares[step] }, throttle)
	}
	var unknown relay.GoodShare
	assert.Equal(t, first(relay.RetryNever, 1, unknown, unknown), 2, "nothing is known of the smaller models")
	assert.Equal(t, first(relay.RetryNever, 0.1, unknown, unknown), 2, "nothing is known of the smaller models, and larger ones are late")
	assert.Equal(t, first(relay.RetryNever, 1, mixed, good), 1)
	assert.Equal(t, first(relay.RetryNever, 0.5, mixed, good), 0, "larger models are late")
	assert.Equal(t, first(relay.RetryNever, 0.1, poor, good), 1, "larger models are late, but the smallest answers few requests well")
	assert.Equal(t, first(relay.RetryNever, 1, good, good), 0)
	assert.Equal(t, first(relay.RetryAlways, 1, unknown, unknown), 0)
	assert.Equal(t, first(relay.RetryResuming, 1, unknown, unknown), 0)
}
