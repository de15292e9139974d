package relay

import "time"

// Entry is one record of the platform's store; exactly one of its fields is set.
type Entry struct {
	Config     *Config
	Server     *Server
	RollOut    *RollOut
	Progress   *Progress
	Member     *Member
	Duty       *Duty
	Evacuation *Evacuation
}

// Change is one change of an entry in the store.
type Change struct {
	// Key is the entry's key in the store.
	Key string
	// Revision orders the changes.
	Revision int64
	// Gone is set when the entry was removed or can't be decoded.
	Gone  bool
	Entry Entry
}

// Feed is what a reader of the store, or of another instance, receives: the changes after a
// revision, or a full snapshot of the store.
type Feed struct {
	// Whole is set when Changes hold all entries of the store as of Revision.
	Whole   bool
	Changes []Change
	// After is the revision that the changes follow; it has no meaning in a full snapshot.
	After    int64
	Revision int64
	// TooMuch is set when there are more changes than the sending instance allows in one answer.
	TooMuch bool
	// Away is set when the sending instance can't reach the store.
	Away bool
	// Served is how long ago the store last answered the sending instance or, as reported to it,
	// another one; zero means unknown.
	Served time.Duration
	// Reports are the latest load reports of backend servers that the sending instance knows.
	Reports []ServerReport
	// Use is what client accounts use at the sending instance and those that report to it.
	Use UseReport
	// Back is how long ago the sending instance found the store reachable again after an outage;
	// zero means that there was none.
	Back time.Duration
}
