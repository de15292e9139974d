package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

func TestThrottleFallsWhileAnswersAreLateAndComesBack(t *testing.T) {
	var z relay.Throttle
	assert.Equal(t, z.Value(), 1.0)
	for range 40 {
		z = z.WithAnswer(true)
	}
	assert.Equal(t, z.Value(), 1.0)
	for range 40 {
		z = z.WithAnswer(false)
	}
	assert.Assert(t, z.Value() > 0 && z.Value() < 0.2, "some are asked still, to see when it is over: %v", z.Value())
	for range 40 {
		z = z.WithAnswer(true)
	}
	assert.Equal(t, z.Value(), 1.0)
	for i := range 400 {
		z = z.WithAnswer(i%10 != 0)
	}
	assert.Assert(t, z.Value() > 0.8, "now and then one is late on any day: %v", z.Value())
}
