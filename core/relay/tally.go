package relay

// Tally counts the attempts that one instance has sent to one release of a service since the instance
// started.
type Tally struct {
	Service ServiceName
	Release Release
	// Runs counts the attempts that were answered, Failed those of them that the server answered
	// with an error of its own, and Slow those that took several times as long as usual. Attempts
	// without an answer don't count, since the crash of a server says nothing about its release.
	Runs   int
	Failed int
	Slow   int
}

// With returns a tally that counts one more answered attempt.
func (t Tally) With(failed, slow bool) Tally {
	t.Runs++
	if failed {
		t.Failed++
	}
	if slow {
		t.Slow++
	}
	return t
}

// Plus returns the sum of the tallies of two instances for the same service and release.
func (t Tally) Plus(other Tally) Tally {
	t.Runs += other.Runs
	t.Failed += other.Failed
	t.Slow += other.Slow
	return t
}
