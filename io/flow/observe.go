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

// tally counts the runs of versions that a roll-out brings in, until the control loop takes them.
type tally struct {
	cells sync.Map
}

// Drain returns the runs counted since the last call, for an ObserveRuns command.
func (f *Flow) Drain() []value.AttemptCounts {
	var list []value.AttemptCounts
	f.tally.cells.Range(func(_, c any) bool {
		var runs value.AttemptCounts
		c.(*policy.Cell[value.AttemptCounts]).Update(func(was value.AttemptCounts) value.AttemptCounts {
			runs = was
			return value.AttemptCounts{Version: was.Version}
		})
		if runs.Total > 0 {
			list = append(list, runs)
		}
		return true
	})
	return list
}

// observe counts a run of a version that a roll-out brings in.
func (r *run) observe(ctx context.Context, k value.VersionKey, began time.Time, u engine.Usage, err error) {
	plan, ok := r.flow.Snapshot().RollOutTo(k)
	if !ok || !tells(ctx, err) {
		return
	}
	slow := plan.SlowAfter > 0 && r.flow.Now().Sub(began) > plan.SlowAfter
	costly := plan.CostAbove > 0 && r.price(k, u) > plan.CostAbove
	c, _ := r.flow.tally.cells.LoadOrStore(k, policy.NewCell(value.AttemptCounts{Version: k}))
	c.(*policy.Cell[value.AttemptCounts]).Update(func(was value.AttemptCounts) value.AttemptCounts {
		return was.WithAttempt(err != nil, slow, costly)
	})
}

// tells reports whether the end of a run says something about its version: a caller that left, a
// server that was not reached and a request at fault do not.
func tells(ctx context.Context, err error) bool {
	var status engine.BadStatus
	switch {
	case err == nil, errors.Is(err, engine.ErrCutOff):
		return true
	case errors.Is(ctx.Err(), context.Canceled), errors.Is(err, engine.ErrNotSent):
		return false
	case errors.As(err, &status):
		return !status.Permanent()
	}
	return errors.Is(err, context.DeadlineExceeded)
}
