package state

import (
	"slices"

	"endivehitch/core/steps"
	"endivehitch/core/value"
)

// RollOut returns the roll-out plan of that name from the document.
func (s State) RollOut(n value.RollOutName) (value.RollOut, bool) {
	i := slices.IndexFunc(s.Config.Document.RollOuts, func(r value.RollOut) bool { return r.Name == n })
	if i < 0 {
		return value.RollOut{}, false
	}
	return s.Config.Document.RollOuts[i], true
}

// RollOutTo returns the roll-out whose new version is the given one, if it is staged or done.
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

// Position returns the known position of the roll-out, or one in PhasePlanned if none is known.
func (s State) Position(r value.RollOut) value.Progress {
	p, ok := s.rollOuts.Get(r.Name)
	if !ok {
		return steps.NewProgress(r)
	}
	return p
}

// Positions returns the positions of all roll-outs whose new version is the given one, also of those
// that a later document no longer has.
func (s State) Positions(k value.VersionKey) []value.Progress {
	var list []value.Progress
	for _, p := range s.rollOuts.All() {
		if p.Version == k {
			list = append(list, p)
		}
	}
	for _, r := range s.Config.Document.RollOuts {
		if _, known := s.rollOuts.Get(r.Name); !known && r.ToKey() == k {
			list = append(list, steps.NewProgress(r))
		}
	}
	return list
}

// rollOutOnlyVersions returns the versions that receive new sessions only through their roll-outs: the
// new versions of all roll-outs that are not done, also of roll-outs that a later document dropped. It
// omits the new version of a staged roll-out whose old version is withdrawn.
func (s State) rollOutOnlyVersions() map[value.VersionKey]bool {
	versions := make(map[value.VersionKey]bool)
	add := func(p value.Progress) {
		if p.Phase != value.PhaseDone && !s.isOldVersionWithdrawn(p) {
			versions[p.Version] = true
		}
	}
	for _, p := range s.rollOuts.All() {
		add(p)
	}
	for _, r := range s.Config.Document.RollOuts {
		add(s.Position(r))
	}
	return versions
}

// isOldVersionWithdrawn reports whether the roll-out is staged and its old version is withdrawn. The old
// version is then never chosen, so it has no share of sessions to pass on to the new one, which is
// chosen by its own estimate instead.
func (s State) isOldVersionWithdrawn(p value.Progress) bool {
	r, ok := s.RollOut(p.Name)
	return ok && p.Phase == value.PhaseStaged && s.IsWithdrawn(r.FromKey())
}
