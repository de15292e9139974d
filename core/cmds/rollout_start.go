package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// StartRollOut begins the first stage of a planned roll-out.
type StartRollOut struct {
	Name value.RollOutName
}

// Apply refuses a roll-out that has already begun, or whose old or new version is unknown or withdrawn.
func (c StartRollOut) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	r, ok := s.RollOut(c.Name)
	if !ok {
		return s, logRefusal(c.Name, "no such roll-out")
	}
	for _, k := range []value.VersionKey{r.FromKey(), r.ToKey()} {
		if _, known := s.Version(k); !known || s.IsWithdrawn(k) {
			return s, logRefusal(c.Name, "version "+string(k)+" is unknown or withdrawn")
		}
	}
	p, err := steps.Start(r, s.Position(r), now)
	if err != nil {
		return s, logRefusal(c.Name, err.Error())
	}
	return applyProgress(s, p, "RollOutStarted")
}

// applyProgress puts a roll-out's next position in force, and returns the effects that log the event and
// store the position.
func applyProgress(s state.State, p value.Progress, event string) (state.State, []state.Effect) {
	return s.WithProgress(p), []state.Effect{
		state.RecordDecision{Event: event, Subject: string(p.Name), Reason: value.Reason(p.Reason)},
		state.StoreProgress{Progress: p},
	}
}

// logRefusal returns the effect that logs why a command to the roll-out was refused.
func logRefusal(n value.RollOutName, detail string) []state.Effect {
	return []state.Effect{state.RecordDecision{Event: "RollOutRefused", Subject: string(n), Detail: detail}}
}
