package relay

// Tally counts the attempts that one instance has sent to one release of a service since the instance
// started.
type Tally struct {
	Service ServiceName
	Release Release
	// Runs counts the attempts that were answered, Failed those of them that the server answered
	// with an error of its own, and Slow those that took several times as long as usual. Attempts
	// without an answer don't count, since the crash of a server says nothing about its release, nor do
	// errors that follow another server's error, since the request is probably at fault.
	Runs   int
	Failed int
	Slow   int
	// UnderLoad counts those of them whose server was loaded.
	UnderLoad RunCounts
}

// RunCounts counts answered attempts.
type RunCounts struct {
	Runs   int
	Failed int
}

// Run is how an answered attempt ended.
type Run struct {
	// Failed is set when the server answered with an error of its own.
	Failed bool
	// Slow is set when the attempt took several times as long as usual.
	Slow bool
	// UnderLoad is set when the attempt counts as one at a loaded server.
	UnderLoad bool
}

// With returns a tally that counts one more answered attempt.
func (t Tally) With(run Run) Tally {
	t.Runs++
	if run.Failed {
		t.Failed++
	}
	if run.Slow {
		t.Slow++
	}
	if run.UnderLoad {
		t.UnderLoad = t.UnderLoad.with(run)
	}
	return t
}

// Plus returns the sum of the tallies of two instances for the same service and release.
func (t Tally) Plus(other Tally) Tally {
	t.Runs += other.Runs
	t.Failed += other.Failed
	t.Slow += other.Slow
	t.UnderLoad.Runs += other.UnderLoad.Runs
	t.UnderLoad.Failed += other.UnderLoad.Failed
	return t
}

func (c RunCounts) with(run Run) RunCounts {
	c.Runs++
	if run.Failed {
		c.Failed++
	}
	return c
}
