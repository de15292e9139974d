package proxy_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

// confidenceOf answers with the confidence that the model has in all its answers.
func confidenceOf(confidences map[relay.ModelName]int) func(context.Context, attempt) (*answer, error) {
	return func(ctx context.Context, sent attempt) (*answer, error) {
		return answerWith(answer{Status: 200, Signed: true, Confidence: confidences[sent.Model]}, string(sent.Model), io.EOF)(ctx, sent)
	}
}

func plainCascade(rule relay.RetryRule) relay.Route {
	r := plainRoute(rule)
	r.Models = []relay.ModelName{"small", "large"}
	return r
}

// Guards against a second run of a request that may run once, whose answer was dropped for its low confidence.
func TestRequestThatMayRunOnceIsNotRepeatedForAnAnswerOfLowConfidence(t *testing.T) {
	stream := cascadeRoute()
	stream.Repeat = relay.RetryNever
	for _, route := range []relay.Route{plainCascade(relay.RetryNever), stream} {
		t.Run(fmt.Sprintf("stream %v", route.Stream), func(t *testing.T) {
			backend := confidenceOf(map[relay.ModelName]int{"small": 5, "large": 10})
			if route.Stream {
				backend = answerWith(answer{Status: 200, Signed: true, Stream: true, Confidence: 5}, firstEvent, io.EOF)
			}
			h := newHarness(t, route, backend)
			for range 5 {
				assert.NilError(t, h.serveTo(t.Context(), new(responseWriter)))
			}
			assert.Equal(t, len(h.backend.attempts), 5)
			for _, sent := range h.backend.attempts {
				assert.Equal(t, sent.Model, relay.ModelName("large"), "the first model must be good enough")
			}
		})
	}
}

// Guards against requests that no longer get a larger model's answer although they may run again.
func TestIdempotentRequestStillGetsALargerModelsAnswer(t *testing.T) {
	h := newHarness(t, plainCascade(relay.RetryAlways), confidenceOf(map[relay.ModelName]int{"small": 5, "large": 95}))
	assert.NilError(t, h.serve(t.Context()))
	assert.Equal(t, h.writer.body.String(), "large")
	assert.Equal(t, len(h.backend.attempts), 2)
}

// Guards against the cost of the largest model for requests that may run once and that a smaller one is known to answer well,
// and against staying there once it no longer does.
func TestRequestThatMayRunOnceGoesToTheSmallestModelKnownToAnswerWell(t *testing.T) {
	once, again := plainCascade(relay.RetryNever), plainCascade(relay.RetryAlways)
	again.Name, again.Prefix = "again", "/again/"
	h := newHarnessWithRoutes(t, []relay.Route{once, again})
	serve := func(path string, confidences map[relay.ModelName]int, requests int) relay.ModelName {
		h.backend.answers = []func(context.Context, attempt) (*answer, error){confidenceOf(confidences)}
		for range requests {
			assert.NilError(t, h.servePath(path))
		}
		return h.backend.attempts[len(h.backend.attempts)-1].Model
	}
	assert.Equal(t, serve("/again/x", map[relay.ModelName]int{"small": 20, "large": 30}, 10), relay.ModelName("large"))
	assert.Equal(t, serve("/x", map[relay.ModelName]int{"small": 80, "large": 90}, 1), relay.ModelName("large"))
	assert.Equal(t, serve("/x", map[relay.ModelName]int{"small": 80, "large": 90}, 60), relay.ModelName("small"))
	assert.Equal(t, serve("/x", map[relay.ModelName]int{"small": 20, "large": 30}, 20), relay.ModelName("large"))
}
