package query

import (
	"math/bits"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Class groups requests whose attempts are expected to take about the same time.
type Class struct {
	Kind value.KindName
	// Prompt and Answer are the bit lengths of the prompt's size and of the answer's limit in
	// tokens.
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

// History holds the timings observed in earlier attempts of a class.
type History struct {
	// Run is the mean duration of a completed attempt.
	Run policy.Smooth
	// First estimates the hedgeQuantile of the time to first token.
	First policy.Quantile
}

var (
	historySmoothing = policy.SmoothConfig{HalfLife: time.Minute, MaxWeight: 32}
	medianAttempt    = policy.QuantileConfig{Of: 0.5, Step: 0.05, MinSeen: 20}
)

// FirstSmooth configures the average of a backend server's time to first token.
var FirstSmooth = policy.SmoothConfig{HalfLife: estimateHalfLife, MaxWeight: 4}

// WithRun returns a history that includes a completed attempt of the given duration.
func (h History) WithRun(duration time.Duration, at time.Time) History {
	h.Run = h.Run.With(historySmoothing, duration, at)
	return h
}

// WithFirst returns a history that includes the given time to first token.
func (h History) WithFirst(elapsed time.Duration) History {
	h.First = h.First.With(firstTokenQuantile, elapsed)
	return h
}

// Typical estimates the median duration of an instance's completed attempts of all classes.
type Typical struct {
	duration policy.Quantile
}

// WithRun returns an estimate that includes a completed attempt of the given duration.
func (t Typical) WithRun(duration time.Duration) Typical {
	t.duration = t.duration.With(medianAttempt, duration)
	return t
}

// longFactor is how many times the median duration makes an attempt long.
const longFactor = 8.0

// Length is the estimate of an attempt's duration.
type Length struct {
	// Run is the expected duration; zero means that it is not known.
	Run time.Duration
	// Cost is the duration as a multiple of the median one, at least minCost; it is 1 if either is
	// not known.
	Cost float64
	// Long is set if the duration is at least longFactor times the median one.
	Long bool
}

const minCost = 0.1

// Expect estimates an attempt's duration from the history of its class.
func Expect(h History, t Typical) Length {
	typical := t.duration.Value(medianAttempt)
	if h.Run.Weight == 0 || typical == 0 {
		return Length{Run: h.Run.Mean, Cost: 1}
	}
	cost := float64(h.Run.Mean) / float64(typical)
	return Length{Run: h.Run.Mean, Cost: max(cost, minCost), Long: cost >= longFactor}
}
