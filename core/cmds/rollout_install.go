package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// InstallProgress puts a roll-out's position from the key-value service or a peer in force.
type InstallProgress struct {
	Progress value.Progress
}

// Apply ignores a position that does not supersede the known one: one that is not newer, or any that
// follows a withdrawal.
func (c InstallProgress) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	p := c.Progress
	if r, ok := s.RollOut(p.Name); ok && p.Version == "" {
		p.Version = r.ToKey()
	}
	present, known := s.Progress(p.Name)
	if known && !p.Supersedes(present) {
		return s, nil
	}
	return s.WithProgress(p), []state.Effect{
		state.RecordDecision{Event: "RollOutInstalled", Subject: string(p.Name), Reason: value.Reason(p.Reason), Detail: string(p.Phase)},
	}
}
