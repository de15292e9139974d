package flow

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// PollConfig sets up the reading of load reports.
type PollConfig struct {
	From engine.Reporter
	// Every is the time between two readings, which also bounds one of them.
	Every time.Duration
	// Batch is how many servers are read at a time; the others have their turn later.
	Batch int
}

// Poll reads what servers report of their load, some at a time, until the context ends.
//
// A report that can't be read is left out: routing does without it.
func (f *Flow) Poll(ctx context.Context, c PollConfig) {
	tick := time.NewTicker(c.Every)
	defer tick.Stop()
	var turn []value.ServerID
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if len(turn) == 0 {
			turn = f.Snapshot().Servers().Keys()
		}
		n := min(c.Batch, len(turn))
		f.read(ctx, c, turn[:n])
		turn = turn[n:]
	}
}

func (f *Flow) read(ctx context.Context, c PollConfig, ids []value.ServerID) {
	ctx, cancel := context.WithTimeout(ctx, c.Every)
	defer cancel()
	s := f.Snapshot()
	var all errgroup.Group
	for _, id := range ids {
		b, ok := s.Server(id)
		if !ok || b.State != value.ServerLive || plain(b) {
			continue
		}
		all.Go(func() error {
			r, err := c.From.Load(ctx, b)
			if err == nil {
				f.board.Update(id, func(l value.Load) value.Load { return l.WithReport(r.Queued, r.At) })
			}
			return nil
		})
	}
	_ = all.Wait()
}

// plain reports whether the server is of a plain service, which gets no call that no caller has made.
func plain(b value.BackendServer) bool {
	return len(b.Versions) == 0
}
