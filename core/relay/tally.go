package relay

// Tally counts what one instance has seen of one release of a service since the instance started.
type Tally struct {
	Service ServiceName
	Release Release
	// Runs is how many runs were answered, Failed how many of them the server answered with a failure
	// of its own, and Slow how many took several times as long as usual. Answers that were lost don't
	// count, since a crash says nothing of a release.
	Runs   int
	Failed int
	Slow   int
}

// With returns a tally that counts one more run.
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

// Plus returns the sum of two instances' tallies.
func (t Tally) Plus(o Tally) Tally {
	t.Runs += o.Runs
	t.Failed += o.Failed
	t.Slow += o.Slow
	return t
}
