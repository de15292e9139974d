package flow_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

var (
	errReset       = errors.New("connection reset")
	completeScript = script{pieces: []string{"dear ", "answer"}}
)

func TestEachFailureIsReportedCorrectly(t *testing.T) {
	notSent := script{startErr: engine.ErrNotSent}
	reset := script{startErr: errReset}
	cases := map[string]struct {
		kind     value.Kind
		first    script
		later    script
		writer   recordingWriter
		billErr  error
		text     string
		reason   value.Reason
		notRun   bool
		attempts int
		bills    int
		settled  string
	}{
		"complete answer is delivered and billed":                  {kind: spelling, first: completeScript, text: "dear answer", attempts: 1, bills: 1},
		"not sent, retry succeeds":                                 {kind: spelling, first: notSent, later: completeScript, text: "dear answer", attempts: 2, bills: 1},
		"not sent to any server":                                   {kind: spelling, first: notSent, later: notSent, reason: value.ReasonBackend, notRun: true, attempts: 2},
		"connection reset after sending, retry succeeds":           {kind: spelling, first: reset, later: completeScript, text: "dear answer", attempts: 2, bills: 1},
		"connection reset at every server":                         {kind: spelling, first: reset, later: reset, reason: value.ReasonBackend, attempts: 2},
		"connection closed before the head, retry succeeds":        {kind: spelling, first: script{startErr: fmt.Errorf("call: %w", io.EOF)}, later: completeScript, text: "dear answer", attempts: 2, bills: 1},
		"connection closed before the first piece, retry succeeds": {kind: spelling, first: script{endErr: errors.Join(engine.ErrTruncated, io.EOF)}, later: completeScript, text: "dear answer", attempts: 2, bills: 1},
		"connection closed after a piece, not retried":             {kind: spelling, first: script{pieces: []string{"dear "}, endErr: errors.Join(engine.ErrTruncated, io.EOF)}, text: "dear ", reason: value.ReasonBackend, attempts: 1},
		"once: connection closed, not retried":                     {kind: reorder, first: script{startErr: fmt.Errorf("call: %w", io.EOF)}, later: completeScript, reason: value.ReasonBackend, attempts: 1, settled: "Doubt"},
		"cut off before the first piece, retry succeeds":           {kind: spelling, first: script{endErr: engine.ErrTruncated}, later: completeScript, text: "dear answer", attempts: 2, bills: 1},
		"cut off after the first piece, not retried":               {kind: spelling, first: script{pieces: []string{"dear "}, endErr: engine.ErrTruncated}, later: completeScript, text: "dear ", reason: value.ReasonBackend, attempts: 1},
		"stalled before the first piece until the deadline":        {kind: spelling, first: script{headDelay: time.Hour}, reason: value.ReasonDeadline, attempts: 1},
		"stalled after the first piece until the deadline":         {kind: spelling, first: script{pieces: []string{"dear ", "x"}, pieceInterval: 40 * time.Second}, text: "dear ", reason: value.ReasonDeadline, attempts: 1},
		"answer to another request, retry succeeds":                {kind: spelling, first: script{startErr: engine.ErrMismatch}, later: completeScript, text: "dear answer", attempts: 2, bills: 1},
		"faulty request is not retried":                            {kind: spelling, first: script{startErr: engine.StatusError{Status: 400}}, later: completeScript, reason: value.ReasonBadRequest, attempts: 1},
		"time-out within the server is not the deadline":           {kind: spelling, first: script{startErr: context.DeadlineExceeded}, later: script{startErr: context.DeadlineExceeded}, reason: value.ReasonBackend, attempts: 2},
		"bill cannot be stored":                                    {kind: spelling, first: completeScript, billErr: errReset, text: "dear answer", reason: value.ReasonBackend, attempts: 1},
		"write to the caller fails":                                {kind: spelling, first: completeScript, writer: recordingWriter{writeErr: errReset}, text: "dear ", reason: value.ReasonBackend, attempts: 1},
		"once: complete answer is stored":                          {kind: reorder, first: completeScript, text: "dear answer", attempts: 1, bills: 1, settled: "Finish dear \nanswer"},
		"once: not sent, retry succeeds":                           {kind: reorder, first: notSent, later: completeScript, text: "dear answer", attempts: 2, bills: 1, settled: "Finish dear \nanswer"},
		"once: not sent to any server, claim released":             {kind: reorder, first: notSent, later: notSent, reason: value.ReasonBackend, notRun: true, attempts: 2, settled: "Release"},
		"once: connection reset after sending, not retried":        {kind: reorder, first: reset, later: completeScript, reason: value.ReasonBackend, attempts: 1, settled: "Doubt"},
		"once: cut off after a piece, not retried":                 {kind: reorder, first: script{pieces: []string{"dear "}, endErr: engine.ErrTruncated}, later: completeScript, text: "dear ", reason: value.ReasonBackend, attempts: 1, settled: "Doubt"},
		"once: bill cannot be stored, outcome in doubt":            {kind: reorder, first: completeScript, billErr: errReset, text: "dear answer", reason: value.ReasonBackend, attempts: 1, settled: "Doubt"},
		"once: write to the caller fails, answer is stored":        {kind: reorder, first: completeScript, writer: recordingWriter{writeErr: errReset}, text: "dear ", reason: value.ReasonBackend, attempts: 1, bills: 1, settled: "Finish dear \nanswer"},
		"once: stalled until the deadline, outcome in doubt":       {kind: reorder, first: script{headDelay: time.Hour}, reason: value.ReasonDeadline, attempts: 1, settled: "Doubt"},
		"shared: cut off after the first piece, not retried":       {kind: shared, first: script{pieces: []string{"dear "}, endErr: engine.ErrTruncated}, later: completeScript, text: "dear ", reason: value.ReasonBackend, attempts: 1},
		"shared: not sent to any server":                           {kind: shared, first: notSent, later: notSent, reason: value.ReasonBackend, notRun: true, attempts: 2},
		"shared: connection reset after sending, retry succeeds":   {kind: shared, first: reset, later: completeScript, text: "dear answer", attempts: 2, bills: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Both servers have the first script, so that the first attempt follows it at
				// either one.
				h := newHarness(t, newDocument(c.kind), nil)
				h.scripts = map[value.ServerID][]script{"s1": {c.first}, "s2": {c.first}}
				h.control = withServers(h.control, "s1", "s2")
				h.laterAttempts = c.later
				h.billErr = c.billErr
				_, err := h.flow.Serve(t.Context(), newJob("r1", c.kind), &c.writer)
				synctest.Wait()
				assert.Equal(t, reasonOf(err), c.reason)
				assert.Equal(t, notRun(err), c.notRun)
				assert.Equal(t, c.writer.text, c.text)
				assert.Equal(t, c.writer.ended, err == nil)
				assert.Equal(t, h.attempts["s1"]+h.attempts["s2"], c.attempts)
				assert.Equal(t, len(h.bills), c.bills)
				assert.Equal(t, strings.Join(h.settled, ","), c.settled)
				assert.Equal(t, h.running, 0)
				assert.Equal(t, h.inFlight(), 0)
			})
		})
	}
}

func reasonOf(err error) value.Reason {
	var refusal value.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

func notRun(err error) bool {
	var refusal value.Refusal
	return errors.As(err, &refusal) && refusal.NotRun
}

func TestPanicInTheResponseWriterReleasesSlotAndClaim(t *testing.T) {
	for _, k := range []value.Kind{spelling, reorder, shared} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, newDocument(k), map[value.ServerID][]script{"s1": {completeScript}})
			func() {
				defer func() { assert.Equal(t, recover(), "sink") }()
				_, _ = h.flow.Serve(t.Context(), newJob("r1", k), &recordingWriter{panics: true})
			}()
			synctest.Wait()
			assert.Equal(t, h.running, 0)
			assert.Equal(t, h.inFlight(), 0)
			assert.Equal(t, len(h.settled) == 1, !k.Idempotent)
			_, err := h.flow.Serve(t.Context(), newJob("r2", k), &recordingWriter{})
			assert.NilError(t, err, "the only slot must be released")
		})
	}
}

func TestRequestUnderAClaimCompletesAfterItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(reorder), map[value.ServerID][]script{"s1": {{headDelay: 2 * time.Second, pieces: []string{"done"}}}})
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		_, _ = h.flow.Serve(ctx, newJob("r1", reorder), &recordingWriter{})
		assert.DeepEqual(t, h.settled, []string{"Finish done"})
		assert.Equal(t, len(h.bills), 1)
	})
}

func TestSlowerAttemptOfAHedgeIsCancelledAndNotDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quick := script{headDelay: 10 * time.Millisecond, pieces: []string{"quick"}}
		slow := script{headDelay: 10 * time.Second, pieces: []string{"slow"}}
		h := newHarness(t, newDocument(spelling), map[value.ServerID][]script{"s1": {quick}, "s2": {quick}})
		for range 60 {
			_, err := h.flow.Serve(t.Context(), newJob("r", spelling), &recordingWriter{})
			assert.NilError(t, err)
		}
		// The first attempt of the next request is slow at either server; the hedged one is quick.
		h.laterAttempts = quick
		h.scripts = map[value.ServerID][]script{"s1": {slow}, "s2": {slow}}
		h.attempts = make(map[value.ServerID]int)
		start := time.Now()
		caller := &recordingWriter{}
		result, err := h.flow.Serve(t.Context(), newJob("late", spelling), caller)
		assert.NilError(t, err)
		assert.Equal(t, caller.text, "quick")
		assert.Equal(t, result.Bill.Runs, 2)
		assert.Assert(t, time.Since(start) < time.Second)
		synctest.Wait()
		assert.Equal(t, h.running, 0, "the slower attempt must be cancelled")
		assert.Equal(t, h.inFlight(), 0)
		assert.Equal(t, len(h.bills), 61)
	})
}

func TestNonIdempotentRequestIsNeverHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quick := script{headDelay: 10 * time.Millisecond, pieces: []string{"x"}}
		h := newHarness(t, newDocument(reorder), map[value.ServerID][]script{"s1": {quick}, "s2": {quick}})
		for range 60 {
			_, err := h.flow.Serve(t.Context(), newJob("r", reorder), &recordingWriter{})
			assert.NilError(t, err)
		}
		h.scripts = map[value.ServerID][]script{"s1": {{headDelay: 10 * time.Second, pieces: []string{"x"}}}, "s2": {{headDelay: 10 * time.Second, pieces: []string{"x"}}}}
		h.attempts = make(map[value.ServerID]int)
		_, err := h.flow.Serve(t.Context(), newJob("late", reorder), &recordingWriter{})
		assert.NilError(t, err)
		assert.Equal(t, h.attempts["s1"]+h.attempts["s2"], 1)
	})
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := []script{{startErr: errReset}}
		h := newHarness(t, newDocument(spelling), map[value.ServerID][]script{"s1": down, "s2": down, "s3": down})
		const requests = 400
		for range requests {
			_, _ = h.flow.Serve(t.Context(), newJob("r", spelling), &recordingWriter{})
		}
		attempts := h.attempts["s1"] + h.attempts["s2"] + h.attempts["s3"]
		assert.Assert(t, attempts > requests, "some requests must be retried")
		assert.Assert(t, attempts <= requests+requests/10+10, "%d attempts", attempts)
	})
}
