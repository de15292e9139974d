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
}

// Stage is one step of a roll-out.
type Stage struct {
	// Percent is the share of new sessions that use the new version.
	Percent int
	// MinRatings is how many ratings the stage needs before it may be left.
	MinRatings int
	// MinTime is how long the stage lasts at the least.
	MinTime time.Duration
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
	Name  RollOutName
	Phase Phase
	// Stage is the index of the stage in force, from 0.
	Stage int
	Since time.Time
	// Reason says why the roll-out came to this phase.
	Reason string
}

// WithPhase returns a copy in another phase, for a stated reason.
func (p Progress) WithPhase(phase Phase, reason string, at time.Time) Progress {
	p.Phase = phase
	p.Reason = reason
	p.Since = at
	return p
}

// WithStage returns a copy at another stage.
func (p Progress) WithStage(stage int, at time.Time) Progress {
	p.Stage = stage
	p.Since = at
	return p
}
