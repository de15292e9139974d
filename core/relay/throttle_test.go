package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

func TestThrottleFallsOnLateAnswersAndRecovers(t *testing.T) {
	var throttle relay.Throttle
	assert.Equal(t, throttle.Value(), 1.0)
	for range 40 {
		throttle = throttle.WithAnswer(true)
	}
	assert.Equal(t, throttle.Value(), 1.0)
	for range 40 {
		throttle = throttle.WithAnswer(false)
	}
	assert.Assert(t, throttle.Value() > 0 && throttle.Value() < 0.2, "some requests still go to larger models, to detect recovery: %v", throttle.Value())
	for range 40 {
		throttle = throttle.WithAnswer(true)
	}
	assert.Equal(t, throttle.Value(), 1.0)
	for i := range 400 {
		throttle = throttle.WithAnswer(i%10 != 0)
	}
	assert.Assert(t, throttle.Value() > 0.8, "one late answer in ten hardly lowers the throttle: %v", throttle.Value())
}
