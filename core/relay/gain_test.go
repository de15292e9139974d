package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

func TestAGainFollowsWhatTheModelsSay(t *testing.T) {
	var g relay.Gain
	untried := g.Value()
	assert.Assert(t, untried > 0, "a model that nobody tried is worth a trial")
	for range 200 {
		g = g.With(40, 43)
	}
	assert.Assert(t, g.Value() > 2 && g.Value() < 5, "%v", g.Value())
	for range 200 {
		g = g.With(40, 70)
	}
	assert.Assert(t, g.Value() > 25, "an earlier release of the model is forgotten: %v", g.Value())
}
