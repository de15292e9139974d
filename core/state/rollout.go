package state

import (
	"slices"

	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// RollOut returns the plan of that name.
func (s State) RollOut(n value.RollOutName) (value.RollOut, bool) {
	i := slices.IndexFunc(s.Config.Document.RollOuts, func(r value.RollOut) bool { return r.Name == n })
	if i < 0 {
		return value.RollOut{}, false
	}
	return s.Config.Document.RollOuts[i], true
}

// RollOutTo returns the plan that brings the version in, where one is under way or done.
func (s State) RollOutTo(k value.VersionKey) (value.RollOut, bool) {
	for _, r := range s.Config.Document.RollOuts {
		if r.ToKey() != k {
			continue
		}
		p := s.Position(r)
		if p.Phase == value.PhaseStaged || p.Phase == value.PhaseDone {
			return r, true
		}
	}
	return value.RollOut{}, false
}

// Position returns where the plan stands, which is at its beginning while nothing else is known.
func (s State) Position(r value.RollOut) value.Progress {
	p, ok := s.rollOuts.Get(r.Name)
	if !ok {
		return steps.Plan(r)
	}
	return p
}

// Positions returns the roll-outs that bring the version in, also those that a document has dropped.
func (s State) Positions(k value.VersionKey) []value.Progress {
	var list []value.Progress
	for _, p := range s.rollOuts.All() {
		if p.Version == k {
			list = append(list, p)
		}
	}
	for _, r := range s.Config.Document.RollOuts {
		if _, known := s.rollOuts.Get(r.Name); !known && r.ToKey() == k {
			list = append(list, steps.Plan(r))
		}
	}
	return list
}

// heldVersions returns the versions that a roll-out brings in which is not done, also where a later
// document has dropped that roll-out halfway.
func (s State) heldVersions() map[value.VersionKey]bool {
	held := make(map[value.VersionKey]bool)
	note := func(p value.Progress) {
		if p.Phase != value.PhaseDone && !s.orphaned(p) {
			held[p.Version] = true
		}
	}
	for _, p := range s.rollOuts.All() {
		note(p)
	}
	for _, r := range s.Config.Document.RollOuts {
		note(s.Position(r))
	}
	return held
}

// orphaned reports whether the old version of a staged roll-out is withdrawn, so that the new one
// stands on its own estimate.
func (s State) orphaned(p value.Progress) bool {
	r, ok := s.RollOut(p.Name)
	return ok && p.Phase == value.PhaseStaged && s.Withdrawn(r.FromKey())
}
