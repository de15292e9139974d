package fakes

import "time"

// Faults says how a stand-in misbehaves; the zero value is a healthy service.
type Faults struct {
	// Down refuses every call before it takes effect and breaks off watches.
	Down bool
	// Refuse turns every call away, as a service over its rate does; watches go on.
	Refuse bool
	// Delay passes before a call takes effect, also when its caller has gone meanwhile.
	Delay time.Duration
	// Stale answers reads from the state at the time the fault was set.
	Stale bool
	// LostAnswers is how many of the next changes take effect without an answer.
	LostAnswers int
}

// WithDown returns a copy that is down or not.
func (f Faults) WithDown(down bool) Faults {
	f.Down = down
	return f
}

// WithRefuse returns a copy that turns calls away or not.
func (f Faults) WithRefuse(refuse bool) Faults {
	f.Refuse = refuse
	return f
}

// WithDelay returns a copy in which each call takes so long.
func (f Faults) WithDelay(d time.Duration) Faults {
	f.Delay = d
	return f
}

// WithStale returns a copy whose reads are stale or not.
func (f Faults) WithStale(stale bool) Faults {
	f.Stale = stale
	return f
}

// WithLostAnswers returns a copy that loses the answers of the next n changes.
func (f Faults) WithLostAnswers(n int) Faults {
	f.LostAnswers = n
	return f
}
