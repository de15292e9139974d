package cmds

import (
	"slices"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// ObserveRatings adds ratings to the estimates of quality and to the tests of roll-outs.
type ObserveRatings struct {
	Ratings []value.Rating
}

// Apply adds the ratings, withdraws a version if its ratings break the quality limit of its roll-out,
// and recomputes the candidate versions of each rated kind.
func (c ObserveRatings) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	var effects []state.Effect
	var kinds []value.KindName
	for _, rating := range c.Ratings {
		s = s.WithRating(rating)
		if !slices.Contains(kinds, rating.Kind) {
			kinds = append(kinds, rating.Kind)
		}
		r, ok := s.RollOutTo(rating.Version)
		if !ok {
			continue
		}
		var more []state.Effect
		s, more = withdrawOnAlarm(s.WithRollOutRating(r, rating), r, now)
		effects = append(effects, more...)
	}
	for _, k := range kinds {
		s = s.WithCandidates(k)
	}
	return s, effects
}
