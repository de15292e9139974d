package proof

import (
	"context"
	"fmt"
	"io"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/engine"
)

// Behaviour is how backend servers treat runs while it lasts; the zero value answers.
type Behaviour struct {
	// Dead resets every run, at its start or in its midst.
	Dead bool
	// Stall stops every run until its caller goes.
	Stall bool
	// Late delays each piece.
	Late time.Duration
	// Another has the run's answer belong to another request.
	Another bool
	// Status fails a run without answering it; zero means success.
	Status int
	// Unsent refuses the connection.
	Unsent bool
	// Only limits the behaviour to one server; empty means all.
	Only value.ServerID
	// Version limits the behaviour to one version; empty means all.
	Version value.VersionKey
}

func (b Behaviour) covers(s value.ServerID, v value.VersionKey) bool {
	return (b.Only == "" || b.Only == s) && (b.Version == "" || b.Version == v)
}

// pieceTime passes before each piece of a healthy answer.
const pieceTime = 200 * time.Millisecond

// runner is the callers' side of the scripted servers at one instance.
type runner struct {
	fleet *Fleet
	node  *node
}

// Start implements engine.Runner.
func (r runner) Start(ctx context.Context, b value.BackendServer, c engine.Call) (engine.Answer, error) {
	r.fleet.reach(StepDispatch, r.node)
	if err := r.node.standStill(ctx); err != nil {
		return nil, err
	}
	b, c = misroute(r.fleet, b, c)
	now := r.fleet.behaviour(b.ID, c.Version)
	if now.Unsent {
		return nil, engine.ErrNotSent
	}
	if now.Status != 0 {
		r.fleet.ran(b, c)
		return nil, engine.BadStatus{Status: now.Status}
	}
	r.fleet.ran(b, c)
	a := &answer{runner: r, server: b.ID, call: c, pieces: pieces(c)}
	if err := a.suffer(ctx); err != nil {
		return nil, err
	}
	if r.fleet.broken == LineNotRun {
		return nil, engine.ErrNotSent
	}
	return a, nil
}

func pieces(c engine.Call) []string {
	subject := string(c.Request)
	if c.Key != "" {
		subject = string(c.Key)
	}
	return []string{"answer ", "to ", subject}
}

// answer is one scripted answer.
type answer struct {
	runner runner
	server value.ServerID
	call   engine.Call
	pieces []string
	sent   int
}

// Head implements engine.Answer.
func (*answer) Head() engine.Head { return engine.Head{Status: 200} }

// Usage implements engine.Answer.
func (*answer) Usage() engine.Usage { return engine.Usage{InputTokens: 10, OutputTokens: 10} }

// Cancel implements engine.Answer.
func (*answer) Cancel() {}

// Next implements engine.Answer.
func (a *answer) Next(ctx context.Context) (engine.Piece, error) {
	steps := []Step{StepFirst, StepMidst, StepMidst, StepComplete}
	a.runner.fleet.reach(steps[a.sent], a.runner.node)
	if err := a.suffer(ctx); err != nil {
		return engine.Piece{}, err
	}
	if a.sent == len(a.pieces) || a.runner.fleet.broken == LineWhole && a.sent == 1 {
		return engine.Piece{}, io.EOF
	}
	a.sent++
	return engine.Piece{Data: []byte(a.pieces[a.sent-1])}, nil
}

func (a *answer) suffer(ctx context.Context) error {
	now := a.runner.fleet.behaviour(a.server, a.call.Version)
	if now.Stall {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := clock.Wait(ctx, pieceTime+now.Late); err != nil {
		return err
	}
	// What failed while the piece was awaited fails it too.
	now = a.runner.fleet.behaviour(a.server, a.call.Version)
	switch {
	case now.Dead:
		return fmt.Errorf("connection reset: %w", engine.ErrCutOff)
	case now.Another:
		return engine.ErrMismatch
	}
	return nil
}
