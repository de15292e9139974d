package policy

import (
	"math"
	"time"
)

// Smooth is an average of durations that forgets with time; the zero value has seen nothing.
type Smooth struct {
	// Mean is the average of what was seen.
	Mean time.Duration
	// Weight is how many samples the average stands for.
	Weight float64
	// At is when the last sample came.
	At time.Time
}

// SmoothConfig says how fast a Smooth forgets.
type SmoothConfig struct {
	// HalfLife is the age at which a sample counts half.
	HalfLife time.Duration
	// MaxWeight bounds how many samples the average stands for.
	MaxWeight float64
}

// With returns an average that has also seen the sample.
func (s Smooth) With(c SmoothConfig, sample time.Duration, at time.Time) Smooth {
	kept := min(s.Weight*decay(c.HalfLife, at.Sub(s.At)), c.MaxWeight-1)
	if s.Weight == 0 {
		kept = 0
	}
	mean := (float64(s.Mean)*kept + float64(sample)) / (kept + 1)
	return Smooth{Mean: time.Duration(mean), Weight: kept + 1, At: at}
}

// Aged returns the mean, which falls with the age of its last sample so that a value that nothing
// confirms is tried again.
func (s Smooth) Aged(halfLife time.Duration, now time.Time) time.Duration {
	if s.Weight == 0 {
		return 0
	}
	return time.Duration(float64(s.Mean) * decay(halfLife, now.Sub(s.At)))
}

func decay(halfLife, age time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
