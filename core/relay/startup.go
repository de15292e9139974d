package relay

import "time"

// Startup is what an instance knows of its start while it has no state.
type Startup struct {
	// Since is when it began to ask for a state; zero means that it has not.
	Since time.Time
	// OthersServeAt is when another instance last said that it has a state; zero means that none has.
	OthersServeAt time.Time
}

// WithStartup returns a state with that knowledge.
func (s State) WithStartup(u Startup) State {
	s.Startup = u
	return s
}

// maxFeedSilence is the time without an answer of the store to any instance from which an instance that hasn't
// found the store out of reach must have been paused; a sound one notices within 2.5 s.
const maxFeedSilence = 5 * time.Second

// IsCurrent reports whether the feed of another instance says what holds. One that was paused may send what was
// withdrawn meanwhile; one that can't reach the store sends what stays in force.
func (f Feed) IsCurrent() bool {
	return f.Away || f.Served <= maxFeedSilence
}
