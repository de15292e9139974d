package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Standing is what an instance knows of another one's place in the fleet.
type Standing struct {
	Instance value.Instance
	// Lag is for how long a newer configuration has been known without being wholly in force.
	Lag time.Duration
	// Silent is for how long the instance has given this one no sign of life; in a large fleet
	// instances hear of most others through few.
	Silent time.Duration
}

// Fleet returns the standing of each known instance, by identifier.
func Fleet(s state.State, now time.Time) []Standing {
	standings := make([]Standing, 0, s.Instances().Len())
	for _, i := range s.Instances().All() {
		standings = append(standings, standing(s, i, now))
	}
	return standings
}

func standing(s state.State, i value.Instance, now time.Time) Standing {
	st := Standing{Instance: i}
	if !i.Lagging.IsZero() {
		st.Lag = now.Sub(i.Lagging)
	}
	if !i.Seen.IsZero() && i.ID != s.Self.ID {
		st.Silent = now.Sub(i.Seen)
	}
	return st
}
