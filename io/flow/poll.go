package flow

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// PollConfig configures the polling of load reports.
type PollConfig struct {
	Reporter engine.Reporter
	// Interval is the time between two batches, and the time-out of each.
	Interval time.Duration
	// BatchSize is how many servers are polled at a time; the others follow in later batches.
	BatchSize int
}

// Poll reads the load reports of the servers, batch by batch, until the context ends.
//
// A report that cannot be read is skipped; routing works without it.
func (f *Flow) Poll(ctx context.Context, config PollConfig) {
	tick := time.NewTicker(config.Interval)
	defer tick.Stop()
	var remaining []value.ServerID
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if len(remaining) == 0 {
			remaining = f.Snapshot().Servers().Keys()
		}
		n := min(config.BatchSize, len(remaining))
		f.readReports(ctx, config, remaining[:n])
		remaining = remaining[n:]
	}
}

func (f *Flow) readReports(ctx context.Context, config PollConfig, ids []value.ServerID) {
	ctx, cancel := context.WithTimeout(ctx, config.Interval)
	defer cancel()
	s := f.Snapshot()
	var group errgroup.Group
	for _, id := range ids {
		server, ok := s.Server(id)
		if !ok || server.State != value.ServerLive || isPlainService(server) {
			continue
		}
		group.Go(func() error {
			report, err := config.Reporter.Load(ctx, server)
			if err == nil {
				f.loads.Update(id, func(l value.Load) value.Load { return l.WithReport(report.Queued, report.At) })
			}
			return nil
		})
	}
	_ = group.Wait()
}

// isPlainService reports whether the server belongs to a plain service. Such a server gets only
// calls that a caller has made, so it is not polled.
func isPlainService(b value.BackendServer) bool {
	return len(b.Versions) == 0
}
