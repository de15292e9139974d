package state

import (
	"slices"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// The shares that a roll-out's watch keeps, over its whole life and all of its signals.
const (
	falseAlarmShare = 0.01
	changeHorizon   = 1000
)

// Watch is what an instance has seen of a roll-out's new version.
type Watch struct {
	Tests policy.Watch[value.Reason]
	// Ratings counts the ratings of the stage in force.
	Ratings int
	// Epoch is the roll-out's epoch that Ratings belongs to.
	Epoch int64
}

// Watch returns what has been seen of the roll-out's new version.
func (s State) Watch(r value.RollOut) Watch {
	w, ok := s.quality.watches.Get(r.Name)
	limits := limitsOf(r)
	if !ok || !slices.Equal(w.Tests.Config().Limits, limits) {
		config := policy.WatchConfig[value.Reason]{Limits: limits, FalseAlarm: falseAlarmShare, Horizon: changeHorizon}
		w = Watch{Tests: config.New()}
	}
	if p := s.Position(r); p.Epoch != w.Epoch {
		w.Epoch = p.Epoch
		w.Ratings = 0
	}
	return w
}

// Watches reports whether this instance decides for the fleet on withdrawing the version: it owns the
// version's slot, or knows no owner.
func (s State) Watches(k value.VersionKey) bool {
	owner, ok := s.Owners().Owner(SlotOf(string(k)))
	return !ok || owner == s.Self.ID
}

// WithRuns returns a state in which the roll-out's tests have seen the runs of its new version.
func (s State) WithRuns(r value.RollOut, runs value.Runs) State {
	w := s.Watch(r)
	w.Tests = w.Tests.
		With(value.ReasonErrorRate, runs.Total, runs.Failed).
		With(value.ReasonSlowRate, runs.Total, runs.Slow).
		With(value.ReasonCostlyRate, runs.Total, runs.Costly)
	return s.withWatch(r, w)
}

// WithRatingOf returns a state in which the roll-out's tests have seen a rating of its new version.
func (s State) WithRatingOf(r value.RollOut, rating value.Rating) State {
	w := s.Watch(r)
	w.Tests = w.Tests.WithWeighed(value.ReasonQuality, !rating.Accepted, s.weight(rating))
	w.Ratings++
	return s.withWatch(r, w)
}

// weight evens out that bad answers are rated more often than good ones.
func (s State) weight(r value.Rating) float64 {
	k, ok := s.kinds.Get(r.Kind)
	if !ok || r.Rate <= 0 || k.RatingFloor <= 0 {
		return 1
	}
	return min(k.RatingFloor/r.Rate, 1)
}

func (s State) withWatch(r value.RollOut, w Watch) State {
	s.quality.watches = s.quality.watches.With(r.Name, w)
	return s
}

// limitsOf lists the limits that the plan states.
func limitsOf(r value.RollOut) []policy.Limit[value.Reason] {
	var limits []policy.Limit[value.Reason]
	if r.MaxErrorRate > 0 {
		limits = append(limits, policy.Limit[value.Reason]{Signal: value.ReasonErrorRate, Max: r.MaxErrorRate})
	}
	if r.MinQuality > 0 {
		limits = append(limits, policy.Limit[value.Reason]{Signal: value.ReasonQuality, Max: 1 - r.MinQuality})
	}
	if r.SlowAfter > 0 {
		limits = append(limits, policy.Limit[value.Reason]{Signal: value.ReasonSlowRate, Max: r.MaxSlowRate})
	}
	if r.CostAbove > 0 {
		limits = append(limits, policy.Limit[value.Reason]{Signal: value.ReasonCostlyRate, Max: r.MaxCostlyRate})
	}
	return limits
}
