package stats

import (
	"context"
	"errors"
	"strconv"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// The outcomes of storing a bill, as values of a label.
const (
	billStored  = "Kept"
	billRefused = "Refused"
)

// Server serves a job and writes its answer to a flow.ResponseWriter; *flow.Flow is one.
type Server interface {
	// Serve returns once the answer is complete; the error is a value.Refusal.
	Serve(ctx context.Context, j flow.Job, w flow.ResponseWriter) (flow.Result, error)
}

// InstrumentedServer is a server whose answers and refusals are counted.
type InstrumentedServer struct {
	stats *Stats
	next  Server
}

// Instrument returns the server with its answers and refusals counted.
func (s *Stats) Instrument(next Server) InstrumentedServer {
	return InstrumentedServer{stats: s, next: next}
}

// Serve serves the job and counts its answer or refusal; the error is that of the wrapped server.
func (s InstrumentedServer) Serve(ctx context.Context, j flow.Job, w flow.ResponseWriter) (flow.Result, error) {
	s.stats.inFlight.Add(1)
	defer s.stats.inFlight.Add(-1)
	timer := &firstTokenTimer{ResponseWriter: w, stats: s.stats, kind: string(j.Request.Kind), start: s.stats.config.Now()}
	result, err := s.next.Serve(ctx, j, timer)
	if err != nil {
		s.stats.recordRefusal(err)
		return result, err
	}
	s.stats.recordAnswer(timer, result)
	return result, nil
}

// recordAnswer counts an answered request, its time and its tokens. A result without a version has
// no tokens.
func (s *Stats) recordAnswer(timer *firstTokenTimer, r flow.Result) {
	s.count(answers, 1, timer.kind)
	s.observe(answerTime, s.config.Now().Sub(timer.start), timer.kind)
	if r.Version == "" {
		return
	}
	s.count(tokens, int64(r.Usage.InputTokens), string(r.Version), "Input")
	s.count(tokens, int64(r.Usage.OutputTokens), string(r.Version), "Output")
}

// recordRefusal counts a refused request; an error that is no value.Refusal counts as a failure of
// the backend server.
func (s *Stats) recordRefusal(err error) {
	refusal := value.Refusal{Reason: value.ReasonBackend}
	errors.As(err, &refusal)
	s.count(refusals, 1, string(refusal.Reason), strconv.FormatBool(refusal.NotRun))
	if refusal.Reason == value.ReasonBillNotStored {
		s.count(bills, 1, billRefused)
	}
}

// firstTokenTimer is a flow.ResponseWriter that records the time to the first piece of an answer.
type firstTokenTimer struct {
	flow.ResponseWriter
	stats      *Stats
	kind       string
	start      time.Time
	hasStarted bool
}

// Write passes the piece on to the wrapped writer.
func (t *firstTokenTimer) Write(p engine.Piece) error {
	if !t.hasStarted {
		t.hasStarted = true
		t.stats.observe(firstToken, t.stats.config.Now().Sub(t.start), t.kind)
	}
	return t.ResponseWriter.Write(p)
}
