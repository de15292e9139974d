package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// InstallProgress puts in force where a roll-out stands by the key-value service or a peer.
type InstallProgress struct {
	Progress value.Progress
}

// Apply never goes back to an older position, and never away from a withdrawal.
func (c InstallProgress) Apply(s state.State, _ time.Time) (state.State, []state.Effect) {
	p := c.Progress
	if r, ok := s.RollOut(p.Name); ok && p.Version == "" {
		p.Version = r.ToKey()
	}
	was, known := s.Progress(p.Name)
	if known && !p.Supersedes(was) {
		return s, nil
	}
	return s.WithProgress(p), []state.Effect{
		state.Decided{What: "RollOutInstalled", Subject: string(p.Name), Reason: value.Reason(p.Reason), Detail: string(p.Phase)},
	}
}
