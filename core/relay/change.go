package relay

import "time"

// Entry is one thing that the platform's store keeps; exactly one of its fields is set.
type Entry struct {
	Config   *Config
	Server   *Server
	RollOut  *RollOut
	Progress *Progress
	Member   *Member
	Duty     *Duty
}

// Change is one change of the store.
type Change struct {
	// Key identifies the entry, within the store.
	Key string
	// Revision orders the changes.
	Revision int64
	// Gone is set when the entry was removed or can't be read.
	Gone  bool
	Entry Entry
}

// Feed is what a reader learns: the changes after one revision, or a whole image.
type Feed struct {
	// Whole is set when Changes hold everything there is at Revision.
	Whole   bool
	Changes []Change
	// After is the revision that the changes follow.
	After    int64
	Revision int64
	// TooMuch is set when there is more than the instance that tells is ready to send.
	TooMuch bool
	// Away is set when the instance that tells can't reach the store.
	Away bool
	// Served is how long ago the store answered the instance that tells, or one that told it; zero
	// means that this isn't known.
	Served time.Duration
	// Back is how long ago the store came back, for the instance that tells; zero means that it was
	// never away.
	Back time.Duration
}
