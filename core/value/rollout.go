package value

import "time"

// RollOut is the plan by which a model's traffic moves from one version to another.
type RollOut struct {
	Name  RollOutName
	Model ModelName
	From  string
	To    string
	// Stages are passed in order; the last one is expected to have the whole share.
	Stages []Stage
	// MaxErrorRate is the share of failed runs, from 0 to 1, that withdraws the version.
	MaxErrorRate float64
	// MinQuality is the share of acceptable answers, from 0 to 1, below which the version is withdrawn.
	MinQuality float64
	// SlowAfter is the time to a whole answer beyond which a run counts as slow; zero switches the test off.
	SlowAfter time.Duration
	// MaxSlowRate is the share of slow runs, from 0 to 1, that withdraws the version.
	MaxSlowRate float64
	// CostAbove is the cost in micro-units of currency beyond which a run counts as costly; zero switches the test off.
	CostAbove int64
	// MaxCostlyRate is the share of costly runs, from 0 to 1, that withdraws the version.
	MaxCostlyRate float64
}

// FromKey returns the key of the version that the roll-out replaces.
func (r RollOut) FromKey() VersionKey {
	return NewVersionKey(r.Model, r.From)
}

// ToKey returns the key of the version that the roll-out brings in.
func (r RollOut) ToKey() VersionKey {
	return NewVersionKey(r.Model, r.To)
}

// Stage is one step of a roll-out.
type Stage struct {
	// Percent is the share of new sessions that use the new version.
	Percent int
	// MinRatings is how many ratings the stage needs before it may be left.
	MinRatings int
	// MinTime is how long the stage lasts at the least.
	MinTime time.Duration
	// MaxTime is how long the stage may last before the roll-out is withdrawn; zero means no bound.
	MaxTime time.Duration
}

// Phase is where a roll-out stands.
type Phase string

// The phases of a roll-out.
const (
	PhasePlanned   Phase = "Planned"
	PhaseStaged    Phase = "Staged"
	PhaseDone      Phase = "Done"
	PhaseWithdrawn Phase = "Withdrawn"
)

// Progress is the present position of a roll-out, as kept in the key-value service.
type Progress struct {
	Name RollOutName
	// Version is the one that the roll-out brings in.
	Version VersionKey
	// Epoch grows with each change, so that an old reading is told from a new one.
	Epoch int64
	Phase Phase
	// Stage is the index of the stage in force, from 0.
	Stage int
	Since time.Time
	// Reason says why the roll-out came to this phase.
	Reason string
}

// WithPhase returns the next epoch's copy in another phase, for a stated reason.
func (p Progress) WithPhase(phase Phase, reason string, at time.Time) Progress {
	p.Phase = phase
	p.Reason = reason
	p.Since = at
	p.Epoch++
	return p
}

// WithStage returns the next epoch's copy at another stage.
func (p Progress) WithStage(stage int, at time.Time) Progress {
	p.Stage = stage
	p.Since = at
	p.Epoch++
	return p
}

// Supersedes reports whether the position replaces another one of the same roll-out.
//
// A withdrawal is final, whatever the epochs say: it wins over a step that another instance
// took at the same moment.
func (p Progress) Supersedes(other Progress) bool {
	if other.Phase == PhaseWithdrawn {
		return false
	}
	return p.Phase == PhaseWithdrawn || p.Epoch > other.Epoch
}

// Withdrawal says that a version receives no new work any more, and why.
type Withdrawal struct {
	Version VersionKey
	Reason  Reason
	At      time.Time
}
