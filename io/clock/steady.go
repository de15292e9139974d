package clock

import (
	"fmt"
	"time"
)

// SteadyConfig configures a Steady.
type SteadyConfig struct {
	// SinceBoot returns the time since the machine was started, in which it was suspended included.
	SinceBoot func() (time.Duration, error)
}

// Steady is a clock for deciding what still holds. Unlike with time.Now, time goes on while the machine is suspended; as
// with it, steps of the time of day change nothing.
type Steady struct {
	config SteadyConfig
	// start and startBoot are readings of both clocks at the same moment.
	start     time.Time
	startBoot time.Duration
}

// NewSteady returns a clock that agrees with time.Now at the call, or an error when SinceBoot has no reading.
func NewSteady(c SteadyConfig) (*Steady, error) {
	now, err := c.SinceBoot()
	if err != nil {
		return nil, fmt.Errorf("read the time since boot: %w", err)
	}
	return &Steady{config: c, start: time.Now(), startBoot: now}, nil
}

// Now returns the present time. It is to be compared with other times of the same clock only.
func (s *Steady) Now() time.Time {
	now, err := s.config.SinceBoot()
	if err != nil {
		// It was readable at the start.
		return time.Now()
	}
	return s.start.Add(now - s.startBoot)
}
