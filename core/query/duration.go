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
	// Duration is the mean duration of a completed attempt.
	Duration policy.DecayingMean
	// FirstToken estimates the hedgeQuantile of the time to first token.
	FirstToken policy.Quantile
}

var (
	historySmoothing     = policy.DecayingMeanConfig{HalfLife: time.Minute, MaxWeight: 32}
	medianDurationConfig = policy.QuantileConfig{Level: 0.5, Step: 0.05, MinSamples: 20}
)

// FirstTokenSmoothing configures the average of a backend server's time to first token, which for a
// plain service is the time to the first part of the answer.
var FirstTokenSmoothing = policy.DecayingMeanConfig{HalfLife: estimateHalfLife, MaxWeight: 4}

// WithAttempt returns a history that includes a completed attempt of the given duration.
func (h History) WithAttempt(duration time.Duration, at time.Time) History {
	h.Duration = h.Duration.With(historySmoothing, duration, at)
	return h
}

// WithFirstToken returns a history that includes the given time to first token.
func (h History) WithFirstToken(elapsed time.Duration) History {
	h.FirstToken = h.FirstToken.With(firstTokenQuantile, elapsed)
	return h
}

// MedianDuration estimates the median duration of an instance's completed attempts of all classes.
type MedianDuration struct {
	duration policy.Quantile
}

// WithAttempt returns an estimate that includes a completed attempt of the given duration.
func (m MedianDuration) WithAttempt(duration time.Duration) MedianDuration {
	m.duration = m.duration.With(medianDurationConfig, duration)
	return m
}

// longFactor is the multiple of the median duration from which on an attempt counts as long.
const longFactor = 8.0

// DurationEstimate is the estimate of an attempt's duration.
type DurationEstimate struct {
	// Duration is the expected duration; zero means that it is not known.
	Duration time.Duration
	// Cost is the duration as a multiple of the median one, at least minCost; it is 1 if either is
	// not known.
	Cost float64
	// Long is set if the duration is at least longFactor times the median one.
	Long bool
}

const minCost = 0.1

// EstimateDuration estimates an attempt's duration from the history of its class.
func EstimateDuration(h History, m MedianDuration) DurationEstimate {
	median := m.duration.Value(medianDurationConfig)
	if h.Duration.Weight == 0 || median == 0 {
		return DurationEstimate{Duration: h.Duration.Mean, Cost: 1}
	}
	cost := float64(h.Duration.Mean) / float64(median)
	return DurationEstimate{Duration: h.Duration.Mean, Cost: max(cost, minCost), Long: cost >= longFactor}
}
