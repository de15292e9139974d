package start

import "time"

const (
	// readRate and writeRate are the calls a second that starting instances make together. The store takes
	// 6,000 reads and 1,200 writes a second from all instances; the rest is left to those that serve already.
	readRate  = 3000
	writeRate = 800
	// registrationWrites are the writes of one registration: a lease, and the entry under it.
	registrationWrites = 2
	// minReadPause is the shortest pause between two first reads of one instance. The store answers within
	// 4 ms, and a connection without an answer after this time has probably been silenced.
	minReadPause = 100 * time.Millisecond
	// maxReadSteps bounds the growth of that pause: a store that returns after seconds is noticed within 0.5 s
	// by each instance of a small fleet.
	maxReadSteps = 3
	// minWritePause and maxWritePause are the first and the longest pause between tries to register, unless the
	// fleet is so large that its writes take longer.
	minWritePause = 200 * time.Millisecond
	maxWritePause = time.Second
)

// MaxReads bounds the first reads of one instance that are under way at once.
const MaxReads = 5

// Schedule says when an instance of a fleet of that size makes its calls to the store at a start.
type Schedule struct {
	// Fleet is the number of instances that may start at the same moment, as far as this one knows.
	Fleet int
}

// FirstRead returns the pause before the first read, for a random number from 0 to 1: the reads of all
// instances are spread over the time in which the store takes them.
func (s Schedule) FirstRead(random float64) time.Duration {
	return scale(s.readTime(), random)
}

// NextRead returns the pause until another read is sent, on another connection, if none has been answered by
// then, after the given number of reads. The pause grows with that number, and varies by a third.
func (s Schedule) NextRead(sent int, random float64) time.Duration {
	pause := max(minReadPause, s.readTime()) * time.Duration(min(max(sent, 1), maxReadSteps))
	return vary(pause, random)
}

// FirstWrite returns the pause before the first try to register, for a random number from 0 to 1.
func (s Schedule) FirstWrite(random float64) time.Duration {
	return scale(s.writeTime(), random)
}

// NextWrite returns the pause before another try, after the given number of failed ones in a row. It doubles
// with each.
func (s Schedule) NextWrite(failed int, random float64) time.Duration {
	const maxDoublings = 8
	first, longest := max(minWritePause, s.writeTime()), max(maxWritePause, 2*s.writeTime())
	return vary(min(first<<min(max(failed-1, 0), maxDoublings), longest), random)
}

// Rewrite returns the pause before an entry is written again that the store has lost, perhaps with those of all
// other instances; it is at least half of the given pause.
func (s Schedule) Rewrite(usual time.Duration, random float64) time.Duration {
	return usual/2 + scale(max(usual, s.writeTime()), random)
}

// readTime returns how long one read of each instance takes at readRate.
func (s Schedule) readTime() time.Duration {
	return time.Duration(s.Fleet) * time.Second / readRate
}

// writeTime returns how long one registration of each instance takes at writeRate.
func (s Schedule) writeTime() time.Duration {
	return time.Duration(s.Fleet) * registrationWrites * time.Second / writeRate
}

// vary returns a pause from two to four thirds of d.
func vary(d time.Duration, random float64) time.Duration {
	return d*2/3 + scale(d*2/3, random)
}

func scale(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * random)
}
