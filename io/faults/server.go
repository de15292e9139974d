package faults

import (
	"context"
	"fmt"
	"io"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/engine"
)

// Behaviour is how backend servers handle attempts; the zero value answers them.
type Behaviour struct {
	// Reset resets the connection of every attempt, before or during its answer.
	Reset bool
	// Stall sends nothing more for any attempt until its caller disconnects.
	Stall bool
	// ExtraDelay is added to the delay of each piece of an answer.
	ExtraDelay time.Duration
	// WrongRequest makes the client find that the answer belongs to another request.
	WrongRequest bool
	// Status is the HTTP status with which every attempt fails; zero means success.
	Status int
	// RefuseConnection refuses the connection.
	RefuseConnection bool
	// Server limits the behaviour to one backend server; empty means all.
	Server value.ServerID
	// Version limits the behaviour to one version; empty means all.
	Version value.VersionKey
}

func (b Behaviour) appliesTo(server value.ServerID, version value.VersionKey) bool {
	return (b.Server == "" || b.Server == server) && (b.Version == "" || b.Version == version)
}

// pieceDelay is the time before each piece of an answer from a healthy server.
const pieceDelay = 200 * time.Millisecond

// runner is one instance's client of the scripted backend servers.
type runner struct {
	fleet    *Fleet
	instance *instance
}

// Start implements engine.Runner.
func (r runner) Start(ctx context.Context, server value.BackendServer, call engine.Call) (engine.Answer, error) {
	r.fleet.reachStep(StepDispatch, r.instance)
	if err := r.instance.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	server, call = misroute(r.fleet, server, call)
	behaviour := r.fleet.behaviourOf(server.ID, call.Version)
	if behaviour.RefuseConnection {
		return nil, engine.ErrNotSent
	}
	if behaviour.Status != 0 {
		r.fleet.recordAttempt(server, call)
		return nil, engine.StatusError{Status: behaviour.Status}
	}
	r.fleet.recordAttempt(server, call)
	scripted := &scriptedAnswer{runner: r, server: server.ID, call: call, pieces: answerPieces(call)}
	if err := scripted.awaitPiece(ctx); err != nil {
		return nil, err
	}
	if r.fleet.brokenInvariant == InvariantNotRunIsTrue {
		// The attempt is recorded above, so this error breaks the invariant on purpose.
		return nil, engine.ErrNotSent
	}
	return scripted, nil
}

func answerPieces(call engine.Call) []string {
	subject := string(call.Request)
	if call.Key != "" {
		subject = string(call.Key)
	}
	return []string{"answer ", "to ", subject}
}

// scriptedAnswer is an answer of known pieces, sent as the server's behaviour at that time says.
type scriptedAnswer struct {
	runner runner
	server value.ServerID
	call   engine.Call
	pieces []string
	sent   int
}

// Head implements engine.Answer.
func (*scriptedAnswer) Head() engine.Head { return engine.Head{Status: 200} }

// Usage implements engine.Answer.
func (*scriptedAnswer) Usage() engine.Usage { return engine.Usage{InputTokens: 10, OutputTokens: 10} }

// Cancel implements engine.Answer.
func (*scriptedAnswer) Cancel() {}

// Next implements engine.Answer.
func (a *scriptedAnswer) Next(ctx context.Context) (engine.Piece, error) {
	steps := []Step{StepFirstByte, StepMidStream, StepMidStream, StepComplete}
	a.runner.fleet.reachStep(steps[a.sent], a.runner.instance)
	if err := a.awaitPiece(ctx); err != nil {
		return engine.Piece{}, err
	}
	if a.sent == len(a.pieces) || a.runner.fleet.brokenInvariant == InvariantCompleteOwnAnswer && a.sent == 1 {
		return engine.Piece{}, io.EOF
	}
	a.sent++
	return engine.Piece{Data: []byte(a.pieces[a.sent-1])}, nil
}

func (a *scriptedAnswer) awaitPiece(ctx context.Context) error {
	behaviour := a.runner.fleet.behaviourOf(a.server, a.call.Version)
	if behaviour.Stall {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := clock.Wait(ctx, pieceDelay+behaviour.ExtraDelay); err != nil {
		return err
	}
	// A fault that began during the wait fails this piece too.
	behaviour = a.runner.fleet.behaviourOf(a.server, a.call.Version)
	switch {
	case behaviour.Reset:
		return fmt.Errorf("connection reset: %w", engine.ErrTruncated)
	case behaviour.WrongRequest:
		return engine.ErrMismatch
	}
	return nil
}
