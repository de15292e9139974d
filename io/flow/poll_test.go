package flow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// gauges reports a queue for each server; a server without one fails, and a negative one hangs.
type gauges map[value.ServerID]int

func (g gauges) Load(ctx context.Context, b value.BackendServer) (engine.Report, error) {
	n, ok := g[b.ID]
	if !ok {
		return engine.Report{}, errReset
	}
	if n < 0 {
		<-ctx.Done()
		return engine.Report{}, ctx.Err()
	}
	return engine.Report{Server: b.ID, Queued: n, At: time.Now()}, nil
}

func (gauges) CacheEvents(context.Context, value.BackendServer, int64) ([]engine.CacheEvent, error) {
	return nil, engine.ErrUnsupported
}

func TestServersThatDoNotReportHoldUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(spelling), map[value.ServerID][]act{"s1": {good}, "s2": {good}, "s3": {good}, "s4": {good}})
		ctx, stop := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer stop()
		g.flow.Poll(ctx, flow.PollConfig{From: gauges{"s1": -1, "s3": 4, "s4": 7}, Every: time.Second, Batch: 2})
		board := g.flow.Board()
		assert.Equal(t, board.Load("s3").ReportedQueue, 4)
		assert.Equal(t, board.Load("s4").ReportedQueue, 7)
		assert.Assert(t, board.Load("s1").ReportedAt.IsZero() && board.Load("s2").ReportedAt.IsZero())
	})
}

func TestPlainServicesGetNoCallThatNoCallerMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(spelling), nil)
		g.control = g.control.WithServer(value.BackendServer{ID: "desk", Pool: "engines", State: value.ServerLive})
		ctx, stop := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer stop()
		g.flow.Poll(ctx, flow.PollConfig{From: gauges{"desk": 4}, Every: time.Second, Batch: 2})
		assert.Assert(t, g.flow.Board().Load("desk").ReportedAt.IsZero())
	})
}
