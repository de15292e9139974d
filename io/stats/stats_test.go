package stats_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
	"endivehitch/io/plat"
	"endivehitch/io/stats"
)

func newStats(t testing.TB) *stats.Stats {
	t.Helper()
	s, err := stats.New(stats.Config{Now: time.Now, Period: time.Second})
	assert.NilError(t, err)
	return s
}

// scrape returns the metrics in the text format that Prometheus reads.
func scrape(t *testing.T, s *stats.Stats) string {
	t.Helper()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, w.Code, 200)
	return w.Body.String()
}

// assertContainsLines fails the test unless the text contains each of the lines.
func assertContainsLines(t *testing.T, text string, lines ...string) {
	t.Helper()
	for _, line := range lines {
		assert.Assert(t, strings.Contains(text, line+"\n"), "%s is not in:\n%s", line, text)
	}
}

// discardWriter is a flow.ResponseWriter that discards the answer.
type discardWriter struct{}

func (discardWriter) WriteHead(engine.Head, value.VersionKey) error { return nil }
func (discardWriter) Write(engine.Piece) error                      { return nil }
func (discardWriter) End(engine.Usage) error                        { return nil }

// slowServer completes its answer after three seconds and writes its first piece after one second;
// with an error set, it fails at once.
type slowServer struct {
	err error
}

func (s slowServer) Serve(_ context.Context, _ flow.Job, to flow.ResponseWriter) (flow.Result, error) {
	if s.err != nil {
		return flow.Result{}, s.err
	}
	time.Sleep(time.Second)
	err := to.Write(engine.Piece{})
	time.Sleep(2 * time.Second)
	usage := engine.Usage{InputTokens: 7, OutputTokens: 11}
	return flow.Result{Version: "m/v", Usage: usage}, errors.Join(err, to.Write(engine.Piece{}))
}

func TestAnswersAndRefusalsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStats(t)
		job := flow.Job{Request: value.Request{Kind: "draft"}}
		_, err := s.Instrument(slowServer{}).Serve(t.Context(), job, discardWriter{})
		assert.NilError(t, err)
		for _, refusal := range []value.Refusal{
			{Reason: value.ReasonQueueFull, NotRun: true}, {Reason: value.ReasonBillNotStored},
		} {
			job.Request.Kind = "made-up-by-a-caller"
			_, err = s.Instrument(slowServer{err: refusal}).Serve(t.Context(), job, discardWriter{})
			assert.ErrorIs(t, err, refusal)
		}
		assert.NilError(t, s.Close())
		text := scrape(t, s)
		assertContainsLines(
			t, text,
			`endivehitch_answers_total{kind="draft"} 1`,
			`endivehitch_refusals_total{not_run="true",reason="QueueFull"} 1`,
			`endivehitch_bills_total{outcome="Refused"} 1`,
			`endivehitch_tokens_total{direction="Output",version="m/v"} 11`,
			`endivehitch_first_token_seconds_sum{kind="draft"} 1`,
			`endivehitch_first_token_seconds_count{kind="draft"} 1`,
			`endivehitch_answer_seconds_sum{kind="draft"} 3`,
		)
		assert.Assert(t, !strings.Contains(text, "made-up"), "a kind that a caller invents must not add a time series")
	})
}

func TestDecisionsAppearInMetricsWithinOnePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStats(t)
		d := value.Decision{Step: value.StepBill, Reason: value.ReasonAnswered}
		s.Record(d)
		s.Record(d)
		s.RecordEvent(state.RecordDecision{Event: "DutyTaken"})
		time.Sleep(time.Second)
		synctest.Wait()
		assertContainsLines(
			t, scrape(t, s),
			`endivehitch_decisions_total{reason="Answered",step="Bill"} 2`,
			`endivehitch_bills_total{outcome="Kept"} 2`,
			`endivehitch_control_events_total{what="DutyTaken"} 1`,
		)
		assert.NilError(t, s.Close())
	})
}

func TestSampledGaugesFollowTheirSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStats(t)
		at := time.Now()
		self := value.Instance{ID: "a", FailureDomain: "guj-a", State: value.InstanceLive}
		now := state.New(self).WithNewestKnown(9, at).WithInstance(value.Instance{ID: "b", State: value.InstanceSuspected})
		control := policy.NewCell(now)
		usage := policy.NewCell(plat.Usage{Writes: 5, Throttled: 2})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() {
			ended <- s.Run(ctx, stats.Sources{
				Snapshot:        control.Get,
				Usage:           usage.Get,
				WaitingRequests: func() int { return 3 },
				UnsettledClaims: func() int { return 4 },
				UnsafeBills:     func() int { return 6 },
			})
		}()
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		assertContainsLines(
			t, scrape(t, s), "endivehitch_requests_waiting 3", "endivehitch_claims_unsettled 4", "endivehitch_bills_unsafe 6",
			`endivehitch_store_calls_total{sort="Write"} 5`, `endivehitch_instances{state="Suspected"} 1`,
		)
		control.Update(func(s state.State) state.State { return s.WithoutInstance("b") })
		usage.Update(func(u plat.Usage) plat.Usage { u.Writes = 8; return u })
		time.Sleep(1500 * time.Millisecond)
		stop()
		assert.NilError(t, <-ended)
		assert.NilError(t, s.Close())
		assertContainsLines(
			t, scrape(t, s), "endivehitch_config_lag_seconds 3", `endivehitch_instances{state="Suspected"} 0`,
			`endivehitch_store_calls_total{sort="Write"} 8`, `endivehitch_store_calls_total{sort="Throttled"} 2`,
		)
	})
}
