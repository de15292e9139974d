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

// queueReporter reports the queue length of each server. The report of a server that is not in the
// map fails, and that of a server with a negative length hangs.
type queueReporter map[value.ServerID]int

func (q queueReporter) Load(ctx context.Context, b value.BackendServer) (engine.LoadReport, error) {
	n, ok := q[b.ID]
	if !ok {
		return engine.LoadReport{}, errReset
	}
	if n < 0 {
		<-ctx.Done()
		return engine.LoadReport{}, ctx.Err()
	}
	return engine.LoadReport{Server: b.ID, Queued: n, At: time.Now()}, nil
}

func (queueReporter) CacheEvents(context.Context, value.BackendServer, int64) ([]engine.CacheEvent, error) {
	return nil, engine.ErrUnsupported
}

func TestFailedLoadReportsDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(spelling), map[value.ServerID][]script{"s1": {completeScript}, "s2": {completeScript}, "s3": {completeScript}, "s4": {completeScript}})
		ctx, stop := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer stop()
		h.flow.Poll(ctx, flow.PollConfig{Reporter: queueReporter{"s1": -1, "s3": 4, "s4": 7}, Interval: time.Second, BatchSize: 2})
		loads := h.flow.ServerLoads()
		assert.Equal(t, loads.Load("s3").ReportedQueue, 4)
		assert.Equal(t, loads.Load("s4").ReportedQueue, 7)
		assert.Assert(t, loads.Load("s1").ReportedAt.IsZero() && loads.Load("s2").ReportedAt.IsZero())
	})
}

func TestPlainServicesAreNotPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(spelling), nil)
		h.control = h.control.WithServer(value.BackendServer{ID: "desk", Pool: "engines", State: value.ServerLive})
		ctx, stop := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer stop()
		h.flow.Poll(ctx, flow.PollConfig{Reporter: queueReporter{"desk": 4}, Interval: time.Second, BatchSize: 2})
		assert.Assert(t, h.flow.ServerLoads().Load("desk").ReportedAt.IsZero())
	})
}
