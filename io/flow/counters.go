package flow

import (
	"context"
	"errors"
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// attemptCounters counts the outcomes of the versions that roll-outs introduce, until the control
// loop takes the counts.
type attemptCounters struct {
	// cells maps a value.VersionKey to a *policy.Cell[value.AttemptCounts].
	cells sync.Map
}

// TakeAttemptCounts returns the outcomes counted since the last call, for an ObserveAttempts
// command.
func (f *Flow) TakeAttemptCounts() []value.AttemptCounts {
	var list []value.AttemptCounts
	f.counters.cells.Range(func(_, c any) bool {
		var counts value.AttemptCounts
		c.(*policy.Cell[value.AttemptCounts]).Update(func(old value.AttemptCounts) value.AttemptCounts {
			counts = old
			return value.AttemptCounts{Version: old.Version}
		})
		if counts.Total > 0 {
			list = append(list, counts)
		}
		return true
	})
	return list
}

// countOutcome counts an outcome of a version that a roll-out introduces; it ignores other
// versions.
func (e *execution) countOutcome(ctx context.Context, version value.VersionKey, start time.Time, usage engine.Usage, err error) {
	rollOut, found := e.flow.Snapshot().RollOutTo(version)
	if !found || !isVersionEvidence(ctx, err) {
		return
	}
	slow := rollOut.SlowAfter > 0 && e.flow.Now().Sub(start) > rollOut.SlowAfter
	costly := rollOut.CostAbove > 0 && e.price(version, usage) > rollOut.CostAbove
	counter, _ := e.flow.counters.cells.LoadOrStore(version, policy.NewCell(value.AttemptCounts{Version: version}))
	counter.(*policy.Cell[value.AttemptCounts]).Update(func(old value.AttemptCounts) value.AttemptCounts {
		return old.WithAttempt(err != nil, slow, costly)
	})
}

// isVersionEvidence reports whether the outcome counts for the version. A complete answer and one
// that was cut off always count. An error status that the server is responsible for and a time-out
// count unless the caller has left. A connection error and a faulty request never count.
func isVersionEvidence(ctx context.Context, err error) bool {
	var status engine.StatusError
	switch {
	case err == nil, errors.Is(err, engine.ErrTruncated):
		return true
	case errors.Is(ctx.Err(), context.Canceled), errors.Is(err, engine.ErrNotSent):
		return false
	case errors.As(err, &status):
		return !status.Permanent()
	}
	return errors.Is(err, context.DeadlineExceeded)
}
