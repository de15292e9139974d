package state

import (
	"slices"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

const (
	// falseAlarmProbability bounds the chance that a roll-out's tests ever withdraw a version that
	// exceeds no limit, over the roll-out's whole duration and all of its signals.
	falseAlarmProbability = 0.01
	// changeHorizonTrials is the number of trials within which a version that comes to exceed a limit is
	// expected to do so.
	changeHorizonTrials = 1000
)

// RollOutTests holds the tests of a roll-out's new version with the trials observed so far. A trial is a
// finished attempt or a rating.
type RollOutTests struct {
	// Sequential are the sequential tests of the roll-out's limits.
	Sequential policy.SequentialTest[value.Reason]
	// Ratings counts the ratings of the stage in force.
	Ratings int
	// Epoch is the roll-out's epoch in which Ratings were counted.
	Epoch int64
}

// RollOutTests returns the tests of the roll-out's new version. They restart if the plan's limits have
// changed, and the count of ratings restarts with each epoch.
func (s State) RollOutTests(r value.RollOut) RollOutTests {
	tests, ok := s.quality.rollOutTests.Get(r.Name)
	limits := limitsOf(r)
	if !ok || !slices.Equal(tests.Sequential.Config().Limits, limits) {
		config := policy.SequentialTestConfig[value.Reason]{Limits: limits, FalseAlarm: falseAlarmProbability, Horizon: changeHorizonTrials}
		tests = RollOutTests{Sequential: config.New()}
	}
	if p := s.Position(r); p.Epoch != tests.Epoch {
		tests.Epoch = p.Epoch
		tests.Ratings = 0
	}
	return tests
}

// DecidesWithdrawal reports whether this instance decides for the fleet whether to withdraw the version:
// it owns the version's hash slot, or there is no owner.
func (s State) DecidesWithdrawal(k value.VersionKey) bool {
	owner, ok := s.Owners().Owner(SlotOf(string(k)))
	return !ok || owner == s.Self.ID
}

// WithAttemptCounts returns a state in which the roll-out's tests count the attempts of its new version.
func (s State) WithAttemptCounts(r value.RollOut, counts value.AttemptCounts) State {
	tests := s.RollOutTests(r)
	tests.Sequential = tests.Sequential.
		With(value.ReasonErrorRate, counts.Total, counts.Failed).
		With(value.ReasonSlowRate, counts.Total, counts.Slow).
		With(value.ReasonCostlyRate, counts.Total, counts.Costly)
	return s.withRollOutTests(r, tests)
}

// WithRollOutRating returns a state in which the roll-out's tests count a rating of its new version.
func (s State) WithRollOutRating(r value.RollOut, rating value.Rating) State {
	tests := s.RollOutTests(r)
	tests.Sequential = tests.Sequential.WithWeighted(value.ReasonQuality, !rating.Accepted, s.ratingWeight(rating))
	tests.Ratings++
	return s.withRollOutTests(r, tests)
}

// ratingWeight returns the weight of a rating, from 0 to 1, that compensates for bad answers being
// sampled more often than good ones.
func (s State) ratingWeight(r value.Rating) float64 {
	k, ok := s.kinds.Get(r.Kind)
	if !ok || r.Rate <= 0 || k.RatingFloor <= 0 {
		return 1
	}
	return min(k.RatingFloor/r.Rate, 1)
}

func (s State) withRollOutTests(r value.RollOut, tests RollOutTests) State {
	s.quality.rollOutTests = s.quality.rollOutTests.With(r.Name, tests)
	return s
}

// limitsOf returns the limits that the roll-out's plan sets.
func limitsOf(r value.RollOut) []policy.SignalLimit[value.Reason] {
	var limits []policy.SignalLimit[value.Reason]
	if r.MaxErrorRate > 0 {
		limits = append(limits, policy.SignalLimit[value.Reason]{Signal: value.ReasonErrorRate, Max: r.MaxErrorRate})
	}
	if r.MinQuality > 0 {
		limits = append(limits, policy.SignalLimit[value.Reason]{Signal: value.ReasonQuality, Max: 1 - r.MinQuality})
	}
	if r.SlowAfter > 0 {
		limits = append(limits, policy.SignalLimit[value.Reason]{Signal: value.ReasonSlowRate, Max: r.MaxSlowRate})
	}
	if r.CostAbove > 0 {
		limits = append(limits, policy.SignalLimit[value.Reason]{Signal: value.ReasonCostlyRate, Max: r.MaxCostlyRate})
	}
	return limits
}
