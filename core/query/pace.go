package query

import (
	"time"

	"endivehitch/core/policy"
)

// Pace is how fast this instance's runs of one target get done; the zero value has seen none.
type Pace struct {
	running int
	run     policy.Smooth
}

// WithStart returns a pace with one more run under way.
func (p Pace) WithStart() Pace {
	p.running++
	return p
}

// WithEnd returns a pace with one run less under way.
func (p Pace) WithEnd() Pace {
	p.running--
	return p
}

// WithRun returns a pace that has seen how long a whole run took.
func (p Pace) WithRun(took time.Duration, at time.Time) Pace {
	p.run = p.run.With(historySmooth, took, at)
	return p
}

// PerSecond returns how many runs get done a second while all places are taken; zero means that it isn't known.
//
// It follows from the runs under way and their mean duration. The rate of earlier runs wouldn't do:
// it tells what was asked for, not what the servers can do.
func (p Pace) PerSecond() float64 {
	if p.running <= 0 || p.run.Mean <= 0 {
		return 0
	}
	return float64(p.running) / p.run.Mean.Seconds()
}
