package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

func TestConfidenceGainTracksRecentAnswers(t *testing.T) {
	var gain relay.ConfidenceGain
	untried := gain.Value()
	assert.Assert(t, untried > 0, "an untried model has a positive gain, so that it is tried")
	for range 200 {
		gain = gain.With(40, 43)
	}
	assert.Assert(t, gain.Value() > 2 && gain.Value() < 5, "%v", gain.Value())
	for range 200 {
		gain = gain.With(40, 70)
	}
	assert.Assert(t, gain.Value() > 25, "recent requests outweigh earlier ones, such as those of a previous release: %v", gain.Value())
}
