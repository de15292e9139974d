package relay

import (
	"slices"
	"time"
)

// PartID identifies the content of a part of a prompt.
type PartID string

// Crash is the loss of a backend server: the connection broke before an answer began.
type Crash struct {
	// Server is a hash of the server's identifier.
	Server uint64
	At     time.Time
	// HeadReceived is set when the server had sent the head of an answer to a request with the part. Few requests
	// that merely were at a crashed server are in that state.
	HeadReceived bool
	// HasWorked is set when the server had a request with the part for a while, so that it was up.
	HasWorked bool
	// HadReturned is set when the server had been lost before, and was back when it got a request with the part. An
	// outage would not have let it come back.
	HadReturned bool
	// OnRetry is set when the request had crashed another server before, and this one had it for a while. Servers that are
	// lost together don't wait for a request that was lost at another one.
	OnRetry bool
	// IsReported is set when another instance reported the crash. At is then too late by the time in transit, which the
	// report's age doesn't include.
	IsReported bool
}

// minWorkTime is the least time for which a server that is up has a request before it crashes on it. What stands in front
// of a server that is down may accept connections, but closes them sooner.
const minWorkTime = 10 * time.Millisecond

// WithHistory returns the crash with what is known of the server, which was lost at lastLoss before it got the request at
// sentAt, and of the request, which may have crashed another server before. A zero lastLoss means that the server was not
// lost before.
func (c Crash) WithHistory(lastLoss, sentAt time.Time, hasCrashedServer bool) Crash {
	c.HasWorked = c.At.Sub(sentAt) >= minWorkTime
	c.HadReturned = c.HasWorked && !lastLoss.IsZero()
	c.OnRetry = c.HasWorked && hasCrashedServer
	return c
}

// MayHaveBeenDown reports whether the server may still have been down since lastLoss when it got the request at sentAt, so
// that it has not crashed on it.
func (c Crash) MayHaveBeenDown(lastLoss, sentAt time.Time) bool {
	return !c.wasUp() && !lastLoss.IsZero() && sentAt.Sub(lastLoss) <= crashDownTime
}

// with returns a crash that includes what another report of it says.
func (c Crash) with(other Crash) Crash {
	c.HeadReceived = c.HeadReceived || other.HeadReceived
	c.HasWorked = c.HasWorked || other.HasWorked
	c.HadReturned = c.HadReturned || other.HadReturned
	c.OnRetry = c.OnRetry || other.OnRetry
	return c
}

// wasUp reports whether the server is known to have been up just before.
func (c Crash) wasUp() bool {
	return c.HeadReceived || c.HadReturned || c.OnRetry
}

// PartRecord is what the fleet knows of a part of prompts: the crashes of servers while they had requests with
// the part that they hadn't begun to answer. A part that crashes servers is in every crash and in no answer;
// one that crashed servers merely had in common is found in answers again soon.
type PartRecord struct {
	// Crashes are those after StartedAt, oldest first; if there are many, some of them.
	Crashes []Crash
	// StartedAt is when an answer to a request with the part last began.
	StartedAt time.Time
	// QuarantinedAt is when the part was found to crash servers; zero means that it was not.
	QuarantinedAt time.Time
	// EndedQuarantines counts the releases from quarantine that this instance knows of. It orders reports and releases:
	// times can't, as a report may be in transit for longer than the time between them.
	EndedQuarantines int
	// Alone plans the probes by requests of which the part is the only suspect one, and Together those by others: if
	// they crash a server, they don't show which of their parts is to blame.
	Alone    ProbePlan
	Together ProbePlan
	// SentProbes counts the probes. ProbedAt is when the last one was sent, if no outcome of it is known;
	// IsProbedTogether is set if it was one of Together.
	SentProbes       int
	ProbedAt         time.Time
	IsProbedTogether bool
	// Rejected counts the requests that this instance rejected for the part.
	Rejected int
	// UpdatedAt is when the record last changed in a way that other instances should know.
	UpdatedAt time.Time
}

const (
	// QuarantineCrashes is the least number of crashes without an answer for which a part is quarantined.
	QuarantineCrashes = 3
	// maxCrashes bounds the crashes of a record.
	maxCrashes = 24
	// sameCrashTime is the longest time between two reports of the same crash. A server that is lost again within
	// crashDownTime without a sign that it was up has not been back.
	sameCrashTime = time.Second
	crashDownTime = 3 * time.Second
)

// IsQuarantined reports whether requests with the part are rejected.
func (r PartRecord) IsQuarantined() bool {
	return !r.QuarantinedAt.IsZero()
}

// HasCrash reports whether the record holds the crash.
func (r PartRecord) HasCrash(crash Crash) bool {
	return r.indexOf(crash) >= 0
}

// indexOf returns the index of the crash, as reported by this instance or another one, or -1.
func (r PartRecord) indexOf(crash Crash) int {
	return slices.IndexFunc(r.Crashes, func(c Crash) bool {
		after := crash.At.Sub(c.At)
		isDown := !crash.wasUp() && after > 0 && after <= crashDownTime
		return c.Server == crash.Server && (isDown || after.Abs() <= sameCrashTime)
	})
}

// LastLoss returns when the server was lost last up to the given time, or the zero time.
func (r PartRecord) LastLoss(server uint64, before time.Time) time.Time {
	var last time.Time
	for _, c := range r.Crashes {
		if c.Server == server && !c.At.After(before) {
			last = c.At
		}
	}
	return last
}

// WithCrash returns a record that includes the crash, unless an answer began after it.
func (r PartRecord) WithCrash(crash Crash, now time.Time) PartRecord {
	known := r.indexOf(crash)
	if !crash.At.After(r.StartedAt) || (known >= 0 && r.Crashes[known].with(crash) == r.Crashes[known]) {
		return r
	}
	crashes := slices.Clone(r.Crashes)
	if known >= 0 {
		crashes[known] = crashes[known].with(crash)
	} else {
		crashes = append(crashes, crash)
	}
	slices.SortStableFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(crashes) > maxCrashes {
		crashes = withoutDensest(crashes)
	}
	r.Crashes, r.UpdatedAt = crashes, now
	return r
}

// withoutDensest returns the crashes without the one that has the closest neighbours, so that those that are left
// cover the whole time.
func withoutDensest(crashes []Crash) []Crash {
	densest := 1
	gap := func(i int) time.Duration { return crashes[i+1].At.Sub(crashes[i-1].At) }
	for i := 2; i < len(crashes)-1; i++ {
		if gap(i) < gap(densest) {
			densest = i
		}
	}
	return slices.Delete(crashes, densest, densest+1)
}

// WithStart returns a record in which an answer to a request with the part began. Crashes before it don't
// count any more, and a quarantine without enough crashes after it ends.
func (r PartRecord) WithStart(at, now time.Time) PartRecord {
	if !at.After(r.StartedAt) {
		return r
	}
	r.StartedAt = at
	left := slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool { return !c.At.After(at) })
	if len(left) == len(r.Crashes) {
		return r
	}
	r.Crashes, r.UpdatedAt = left, now
	if len(left) < QuarantineCrashes {
		r = r.withoutQuarantine()
	}
	return r
}

// Merged returns a record with what another instance knows besides. A report by an instance that doesn't know of a release
// from quarantine adds nothing: its crashes may be older than the release, although their ages don't show it. The record is
// passed on again instead, so that the other instance learns of the release.
func (r PartRecord) Merged(other PartRecord, now time.Time) PartRecord {
	if other.EndedQuarantines < r.EndedQuarantines {
		r.UpdatedAt = now
		return r
	}
	if other.EndedQuarantines > r.EndedQuarantines {
		r = r.withRelease(other, now)
	}
	for _, crash := range other.Crashes {
		r = r.WithCrash(crash, now)
	}
	if other.hasNewerQuarantine(r) && len(r.Crashes) >= QuarantineCrashes {
		crashes, startedAt, rejected := r.Crashes, r.StartedAt, r.Rejected
		r = other
		r.Crashes, r.StartedAt, r.Rejected, r.UpdatedAt = crashes, startedAt, rejected, now
	}
	if other.StartedAt.IsZero() {
		return r
	}
	return r.WithStart(other.StartedAt, now)
}

// withRelease returns a record that includes the releases from quarantine of which another instance knows besides. The
// reported crashes are dropped, as it is not known whether they are older.
func (r PartRecord) withRelease(other PartRecord, now time.Time) PartRecord {
	left := slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool { return c.IsReported || !c.At.After(other.StartedAt) })
	r = r.withoutQuarantine()
	r.Crashes, r.EndedQuarantines, r.UpdatedAt = left, other.EndedQuarantines, now
	return r
}

// hasNewerQuarantine reports whether the record has a quarantine of which the older record doesn't know, or not the
// latest probe.
func (r PartRecord) hasNewerQuarantine(older PartRecord) bool {
	if !r.IsQuarantined() || !older.IsQuarantined() {
		return r.IsQuarantined()
	}
	hasEnded := r.ProbedAt.IsZero() && !older.ProbedAt.IsZero()
	return r.SentProbes > older.SentProbes || (r.SentProbes == older.SentProbes && hasEnded)
}

const (
	// crashLifetime is how long a record without a quarantine is kept after its last crash or its release from
	// quarantine, startLifetime how long another one without crashes is kept after the last start, and
	// quarantineLifetime how long a quarantine lasts after the last crash.
	crashLifetime      = 2 * time.Minute
	startLifetime      = 10 * time.Second
	quarantineLifetime = 2 * maxProbePause
)

// IsExpired reports whether the record is too old to be of use.
func (r PartRecord) IsExpired(now time.Time) bool {
	switch {
	case len(r.Crashes) == 0 && r.EndedQuarantines > 0:
		return now.Sub(r.UpdatedAt) > crashLifetime
	case len(r.Crashes) == 0:
		return now.Sub(r.StartedAt) > startLifetime
	case r.IsQuarantined():
		return now.Sub(r.Crashes[len(r.Crashes)-1].At) > quarantineLifetime
	}
	return now.Sub(r.Crashes[len(r.Crashes)-1].At) > crashLifetime
}
