package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// AdvanceRollOut moves a roll-out to its next stage, or ends it after the last one; query.DueSteps
// decides when it is due.
type AdvanceRollOut struct {
	Name value.RollOutName
	// Stage is the stage to leave. A roll-out at another stage is not moved, so that a repeated command
	// skips no stage.
	Stage int
	// Forced advances even if the stage's conditions are not met.
	Forced bool
}

// Apply refuses an unforced step while the stage's conditions are not met. A repeated command is refused
// and changes nothing.
func (c AdvanceRollOut) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	r, ok := s.RollOut(c.Name)
	if !ok {
		return s, logRefusal(c.Name, "no such roll-out")
	}
	position := s.Position(r)
	if position.Stage != c.Stage {
		return s, logRefusal(c.Name, "roll-out is at another stage than the one to advance from")
	}
	p, err := c.nextProgress(r, position, steps.StageMeasurements{Ratings: s.RollOutTests(r).Ratings}, now)
	if err != nil {
		return s, logRefusal(c.Name, err.Error())
	}
	if p.Phase == value.PhaseDone {
		return applyProgress(s, p, "RollOutDone")
	}
	return applyProgress(s, p, "RollOutAdvanced")
}

func (c AdvanceRollOut) nextProgress(r value.RollOut, p value.Progress, measurements steps.StageMeasurements, now time.Time) (value.Progress, error) {
	if c.Forced {
		return steps.ForceAdvance(r, p, now)
	}
	return steps.Advance(r, p, measurements, now)
}
