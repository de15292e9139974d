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

// Apply leaves a roll-out as it is where it has begun or where either version is unknown or withdrawn.
func (c StartRollOut) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	r, ok := s.RollOut(c.Name)
	if !ok {
		return s, refused(c.Name, "no such roll-out")
	}
	for _, k := range []value.VersionKey{r.FromKey(), r.ToKey()} {
		if _, known := s.Version(k); !known || s.Withdrawn(k) {
			return s, refused(c.Name, "version "+string(k)+" is not in service")
		}
	}
	p, err := steps.Start(r, s.Position(r), now)
	if err != nil {
		return s, refused(c.Name, err.Error())
	}
	return moved(s, p, "RollOutStarted")
}

// moved puts a roll-out at its next position and asks for that to be kept.
func moved(s state.State, p value.Progress, what string) (state.State, []state.Effect) {
	return s.WithProgress(p), []state.Effect{
		state.Decided{What: what, Subject: string(p.Name), Reason: value.Reason(p.Reason)},
		state.KeepProgress{Progress: p},
	}
}

func refused(n value.RollOutName, why string) []state.Effect {
	return []state.Effect{state.Decided{What: "RollOutRefused", Subject: string(n), Detail: why}}
}
