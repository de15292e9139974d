package flow

import (
	"context"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// Job is a request together with the call that carries its body.
type Job struct {
	Request value.Request
	Call    engine.Call
}

// Result is what became of a request that was answered.
type Result struct {
	Version value.VersionKey
	Server  value.ServerID
	Usage   engine.Usage
	Bill    value.Bill
}

// Sink receives one answer; it is used by one goroutine.
type Sink interface {
	// Begin is called once, before the first piece, with the version that answers.
	Begin(h engine.Head, v value.VersionKey) error
	// Write takes the next piece.
	Write(p engine.Piece) error
	// End is called once the answer is whole and its bill is kept.
	End(u engine.Usage) error
}

// Biller keeps bills so that each request is charged once.
type Biller interface {
	// Keep returns once the bill survives the loss of this instance.
	Keep(ctx context.Context, b value.Bill) error
}

// Stored is the kept answer of a request that ran earlier under the same idempotency key.
type Stored struct {
	Head engine.Head
	Body []byte
}

// Claim is the right to run a request that must run at most once.
type Claim interface {
	// Finish keeps the answer for later calls with the same key.
	Finish(ctx context.Context, s Stored) error
	// Release gives the key back; it is called only when nothing was dispatched.
	Release(ctx context.Context) error
	// Doubt marks the outcome as unknown, after a dispatch that did not end in a whole answer.
	Doubt(ctx context.Context) error
}

// Guard lets a request that is not idempotent run at most once across the fleet.
type Guard interface {
	// Claim returns the right to run, or the kept answer of an earlier run; the error is a
	// value.Refusal with StillRunning, OutcomeUnknown, IdempotencyKeyReused or JournalUnavailable.
	Claim(ctx context.Context, r value.Request) (Claim, *Stored, error)
}
