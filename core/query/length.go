package query

import (
	"math/bits"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Class groups requests that are expected to run about equally long.
type Class struct {
	Kind value.KindName
	// Prompt and Answer are the binary orders of magnitude of the prompt's and the answer's bounds.
	Prompt int
	Answer int
}

// ClassOf returns the request's class.
func ClassOf(r value.Request) Class {
	return Class{
		Kind:   r.Kind,
		Prompt: bits.Len(uint(max(0, r.InputTokens))),
		Answer: bits.Len(uint(max(0, r.MaxTokens))),
	}
}

// History is what was seen of earlier runs of a class.
type History struct {
	// Run is the time that a whole run took.
	Run policy.Smooth
	// First follows the time to the first piece.
	First policy.Quantile
}

var (
	historySmooth = policy.SmoothConfig{HalfLife: time.Minute, MaxWeight: 32}
	typicalRun    = policy.QuantileConfig{Of: 0.5, Step: 0.05, MinSeen: 20}
)

// FirstSmooth is how the time to a server's first piece is averaged.
var FirstSmooth = policy.SmoothConfig{HalfLife: estimateHalfLife, MaxWeight: 4}

// WithRun returns a history that has seen a whole run.
func (h History) WithRun(took time.Duration, at time.Time) History {
	h.Run = h.Run.With(historySmooth, took, at)
	return h
}

// WithFirst returns a history that has seen a first piece.
func (h History) WithFirst(after time.Duration) History {
	h.First = h.First.With(firstQuantile, after)
	return h
}

// Typical follows the run time of the median request of an instance.
type Typical struct {
	run policy.Quantile
}

// WithRun returns a value that has seen a whole run.
func (t Typical) WithRun(took time.Duration) Typical {
	t.run = t.run.With(typicalRun, took)
	return t
}

const longFactor = 8.0

// Length is what is expected of a run's duration.
type Length struct {
	// Run is the expected duration; zero means that it isn't known.
	Run time.Duration
	// Cost is the duration in units of a typical run, at least a small share of one.
	Cost float64
	// Long is set when the run lasts much longer than a typical one.
	Long bool
}

const leastCost = 0.1

// Expect estimates a run's length from the history of its class.
func Expect(h History, t Typical) Length {
	typical := t.run.Value(typicalRun)
	if h.Run.Weight == 0 || typical == 0 {
		return Length{Run: h.Run.Mean, Cost: 1}
	}
	cost := float64(h.Run.Mean) / float64(typical)
	return Length{Run: h.Run.Mean, Cost: max(cost, leastCost), Long: cost >= longFactor}
}
