package value

import "time"

// RollOut is the plan by which a model's traffic moves from one version to another.
type RollOut struct {
	Name  RollOutName
	Model ModelName
	From  string
	To    string
	// Stages are passed in order; the last one has 100 percent.
	Stages []Stage
	// MaxErrorRate is the share of failed attempts, from 0 to 1, above which the version is withdrawn.
	MaxErrorRate float64
	// MinQuality is the share of acceptable answers, from 0 to 1, below which the version is withdrawn.
	MinQuality float64
	// SlowAfter is the time to a complete answer beyond which an attempt counts as slow; zero disables
	// the check.
	SlowAfter time.Duration
	// MaxSlowRate is the share of slow attempts, from 0 to 1, above which the version is withdrawn.
	MaxSlowRate float64
	// CostAbove is the cost in micro-units of currency beyond which an attempt counts as costly; zero
	// disables the check.
	CostAbove int64
	// MaxCostlyRate is the share of costly attempts, from 0 to 1, above which the version is withdrawn.
	MaxCostlyRate float64
}

// FromKey returns the key of the version that the roll-out replaces.
func (r RollOut) FromKey() VersionKey {
	return NewVersionKey(r.Model, r.From)
}

// ToKey returns the key of the new version.
func (r RollOut) ToKey() VersionKey {
	return NewVersionKey(r.Model, r.To)
}

// Stage is one step of a roll-out.
type Stage struct {
	// Percent is the share of new sessions that use the new version.
	Percent int
	// MinRatings is the number of ratings that the stage needs before the next one may begin.
	MinRatings int
	// MinTime is the shortest time that the stage lasts.
	MinTime time.Duration
	// MaxTime is the longest time that the stage may last before the version is withdrawn; zero means
	// no bound.
	MaxTime time.Duration
}

// Phase is the phase of a roll-out.
type Phase string

// The phases of a roll-out.
const (
	PhasePlanned   Phase = "Planned"
	PhaseStaged    Phase = "Staged"
	PhaseDone      Phase = "Done"
	PhaseWithdrawn Phase = "Withdrawn"
)

// Progress is the present position of a roll-out, as stored in the key-value service.
type Progress struct {
	Name RollOutName
	// Version is the new version of the roll-out.
	Version VersionKey
	// Epoch grows with each change, so that an outdated position can be distinguished from the current one.
	Epoch int64
	Phase Phase
	// Stage is the index of the stage in force, from 0.
	Stage int
	// Since is when the roll-out entered this phase or stage.
	Since time.Time
	// Reason is why the roll-out entered this phase; it may be empty.
	Reason string
}

// WithPhase returns a copy in another phase, for the given reason and with the next epoch.
func (p Progress) WithPhase(phase Phase, reason string, at time.Time) Progress {
	p.Phase = phase
	p.Reason = reason
	p.Since = at
	p.Epoch++
	return p
}

// WithStage returns a copy at another stage, with the next epoch.
func (p Progress) WithStage(stage int, at time.Time) Progress {
	p.Stage = stage
	p.Since = at
	p.Epoch++
	return p
}

// Supersedes reports whether the position replaces another one of the same roll-out.
//
// A withdrawal is final whatever the epochs are: it wins over a concurrent step by another instance.
func (p Progress) Supersedes(other Progress) bool {
	if other.Phase == PhaseWithdrawn {
		return false
	}
	return p.Phase == PhaseWithdrawn || p.Epoch > other.Epoch
}

// Withdrawal records that a version receives no new work, and why.
type Withdrawal struct {
	Version VersionKey
	Reason  Reason
	At      time.Time
}
