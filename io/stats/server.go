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

// The outcomes of keeping a bill.
const (
	billKept    = "Kept"
	billRefused = "Refused"
)

// Server serves a job into a sink; *flow.Flow is one.
type Server interface {
	// Serve returns once the answer is whole; the error is a value.Refusal.
	Serve(ctx context.Context, j flow.Job, s flow.Sink) (flow.Result, error)
}

// Counted is a server whose answers and refusals are counted.
type Counted struct {
	stats *Stats
	next  Server
}

// Count returns the server with its answers and refusals counted.
func (s *Stats) Count(next Server) Counted {
	return Counted{stats: s, next: next}
}

// Serve serves the job and counts how it ended; the error is the server's.
func (c Counted) Serve(ctx context.Context, j flow.Job, sink flow.Sink) (flow.Result, error) {
	c.stats.inFlight.Add(1)
	defer c.stats.inFlight.Add(-1)
	t := &timed{Sink: sink, stats: c.stats, kind: string(j.Request.Kind), began: c.stats.config.Now()}
	result, err := c.next.Serve(ctx, j, t)
	if err != nil {
		c.stats.refused(err)
		return result, err
	}
	c.stats.answered(t, result)
	return result, nil
}

func (s *Stats) answered(t *timed, r flow.Result) {
	s.count(answers, 1, t.kind)
	s.took(answerTime, s.config.Now().Sub(t.began), t.kind)
	if r.Version == "" {
		return
	}
	s.count(tokens, int64(r.Usage.InputTokens), string(r.Version), "Input")
	s.count(tokens, int64(r.Usage.OutputTokens), string(r.Version), "Output")
}

func (s *Stats) refused(err error) {
	refusal := value.Refusal{Reason: value.ReasonBackend}
	errors.As(err, &refusal)
	s.count(refusals, 1, string(refusal.Reason), strconv.FormatBool(refusal.NotRun))
	if refusal.Reason == value.ReasonBillNotStored {
		s.count(keptBills, 1, billRefused)
	}
}

// timed notes when the first piece of an answer goes to the caller.
type timed struct {
	flow.Sink
	stats *Stats
	kind  string
	began time.Time
	begun bool
}

// Write passes the piece on.
func (t *timed) Write(p engine.Piece) error {
	if !t.begun {
		t.begun = true
		t.stats.took(firstToken, t.stats.config.Now().Sub(t.began), t.kind)
	}
	return t.Sink.Write(p)
}
