package proxy

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

const (
	firstByteHalfLife  = 5 * time.Second
	firstByteMaxWeight = 20
	// ejectAfterFailures is how many failures in a row eject a server: for minEjection at first, and for up
	// to maxEjection when it is ejected repeatedly.
	ejectAfterFailures = 2
	minEjection        = 500 * time.Millisecond
	maxEjection        = 8 * time.Second
)

// firstByteConfig smooths the observed time until an answer's first byte.
var firstByteConfig = policy.DecayingMeanConfig{HalfLife: firstByteHalfLife, MaxWeight: firstByteMaxWeight}

// loadTable holds the load and health of each server as observed by this instance.
type loadTable struct {
	policy.Cells[relay.ServerID, relay.Load]
}

// retain discards servers that are no longer known, except those with attempts in flight.
func (t *loadTable) retain(isKnown func(relay.ServerID) bool) {
	for id, load := range t.All() {
		if !isKnown(id) && load.InFlight == 0 {
			t.Delete(id)
		}
	}
}

// loadTracker updates a server's load with the progress of one attempt. The first byte and the end are
// counted once, however often they are recorded.
type loadTracker struct {
	cell *policy.Cell[relay.Load]
	// expectedWork is the attempt's expected time to first byte, which is part of the server's load until
	// the first byte arrives.
	expectedWork time.Duration
	started      time.Time
	// firstByteTime is the time from the start to the first byte.
	firstByteTime     time.Duration
	firstByteReceived bool
	ended             bool
}

func (t *loadTable) startAttempt(id relay.ServerID, work time.Duration, at time.Time) *loadTracker {
	tracker := &loadTracker{cell: t.Cell(id), expectedWork: work, started: at}
	tracker.cell.Update(func(l relay.Load) relay.Load { return l.WithStart(work) })
	return tracker
}

func (t *loadTracker) recordFirstByte(at time.Time) {
	if t.firstByteReceived {
		return
	}
	t.firstByteReceived = true
	t.firstByteTime = at.Sub(t.started)
	t.cell.Update(func(l relay.Load) relay.Load {
		return l.WithFirstByte(firstByteConfig, t.expectedWork, at.Sub(t.started), at)
	})
}

// recordActivity records that the server has sent something.
func (t *loadTracker) recordActivity(at time.Time) {
	t.cell.Update(func(l relay.Load) relay.Load { return l.WithReceived(at) })
}

// silence returns how long the server has sent nothing on any attempt, counted from this attempt's start
// at the earliest.
func (t *loadTracker) silence(at time.Time) time.Duration {
	last := t.cell.Get().LastReceived
	if last.Before(t.started) {
		last = t.started
	}
	return at.Sub(last)
}

// isAlive reports whether the server has sent something on any attempt since this attempt's start.
func (t *loadTracker) isAlive() bool {
	return t.cell.Get().LastReceived.After(t.started)
}

// isServerLoaded reports whether the server was loaded when it last reported.
func (t *loadTracker) isServerLoaded() bool {
	return t.cell.Get().Report.IsLoaded()
}

// isOnlyAttempt reports whether this instance has no other attempt at the server.
func (t *loadTracker) isOnlyAttempt() bool {
	return t.cell.Get().InFlight <= 1
}

func (t *loadTracker) recordReport(r relay.Report, at time.Time) {
	t.cell.Update(func(l relay.Load) relay.Load { return l.WithReport(r, at) })
}

func (t *loadTracker) recordSuccess(at time.Time) {
	t.cell.Update(func(l relay.Load) relay.Load { return l.WithSuccess(at) })
}

// recordErrorAnswer records that the server answered with an error. That does not count towards ejection,
// since the request may be at fault.
func (t *loadTracker) recordErrorAnswer(at time.Time) {
	t.cell.Update(func(l relay.Load) relay.Load { return l.WithErrorAnswer(at) })
}

// recordFailure records an attempt without a valid answer, which counts towards ejection.
func (t *loadTracker) recordFailure(at time.Time) {
	t.cell.Update(func(l relay.Load) relay.Load { return l.WithFailure(ejectAfterFailures, minEjection, maxEjection, at) })
}

func (t *loadTracker) finish() {
	if t.ended {
		return
	}
	t.ended = true
	t.cell.Update(func(l relay.Load) relay.Load {
		if !t.firstByteReceived {
			l = l.WithoutWork(t.expectedWork)
		}
		return l.WithEnd()
	})
}
