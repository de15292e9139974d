package fakes

import "time"

// StoreFaults is the set of faults of a Store; the zero value is a healthy store.
type StoreFaults struct {
	// Down fails every call before it takes effect and ends watches.
	Down bool
	// Refuse fails every call, as a service above its rate limit does; open watches continue.
	Refuse bool
	// Delay is the time before a call takes effect. A change takes effect even if its caller has
	// given up meanwhile.
	Delay time.Duration
	// Stale answers reads from the store's state at the time when the faults were set.
	Stale bool
	// LostAnswers is how many of the next successful changes get no answer.
	LostAnswers int
}

// WithDown returns a copy that is down or not.
func (f StoreFaults) WithDown(down bool) StoreFaults {
	f.Down = down
	return f
}

// WithRefuse returns a copy that refuses calls or not.
func (f StoreFaults) WithRefuse(refuse bool) StoreFaults {
	f.Refuse = refuse
	return f
}

// WithDelay returns a copy that delays each call by d.
func (f StoreFaults) WithDelay(d time.Duration) StoreFaults {
	f.Delay = d
	return f
}

// WithStale returns a copy whose reads are stale or not.
func (f StoreFaults) WithStale(stale bool) StoreFaults {
	f.Stale = stale
	return f
}

// WithLostAnswers returns a copy that loses the answers to the next n successful changes.
func (f StoreFaults) WithLostAnswers(n int) StoreFaults {
	f.LostAnswers = n
	return f
}
