package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// AdvanceRollOut moves a roll-out to its next stage, or ends it after the last one.
type AdvanceRollOut struct {
	Name value.RollOutName
	// Stage is the stage to be left; a roll-out that stands elsewhere is left alone, so that a
	// repeated command skips nothing.
	Stage int
	// Forced moves on although the stage's conditions are not met.
	Forced bool
}

// Apply is idempotent; it leaves the roll-out as it is while its stage's conditions are not met.
func (c AdvanceRollOut) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	r, ok := s.RollOut(c.Name)
	if !ok {
		return s, refused(c.Name, "no such roll-out")
	}
	was := s.Position(r)
	if was.Stage != c.Stage {
		return s, refused(c.Name, "roll-out has left that stage")
	}
	p, err := c.step(r, was, steps.Seen{Ratings: s.Watch(r).Ratings}, now)
	if err != nil {
		return s, refused(c.Name, err.Error())
	}
	if p.Phase == value.PhaseDone {
		return moved(s, p, "RollOutDone")
	}
	return moved(s, p, "RollOutAdvanced")
}

func (c AdvanceRollOut) step(r value.RollOut, p value.Progress, seen steps.Seen, now time.Time) (value.Progress, error) {
	if c.Forced {
		return steps.Skip(r, p, now)
	}
	return steps.Advance(r, p, seen, now)
}
