package flow

import (
	"context"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// Job is a request together with the engine call that holds its body.
type Job struct {
	Request value.Request
	Call    engine.Call
}

// Result describes the answer of a request.
type Result struct {
	Version value.VersionKey
	Server  value.ServerID
	Usage   engine.Usage
	Bill    value.Bill
}

// ResponseWriter writes one answer to the caller; it is used by one goroutine.
type ResponseWriter interface {
	// WriteHead is called once, before the first piece, with the version that answers. The version is
	// empty for a plain service and for a stored answer.
	WriteHead(h engine.Head, v value.VersionKey) error
	// Write writes the next piece.
	Write(p engine.Piece) error
	// End is called once the answer is complete and its bill is stored.
	End(u engine.Usage) error
}

// Biller stores bills so that each request is charged once.
type Biller interface {
	// StoreBill stores the bill and returns once it survives the loss of this instance.
	StoreBill(ctx context.Context, b value.Bill) error
}

// StoredAnswer is the stored answer of an earlier request with the same idempotency key.
type StoredAnswer struct {
	Head engine.Head
	// Body is empty if the answer was too long to be kept.
	Body []byte
	// Bytes and Digest are the length and the SHA-256 digest of the whole body.
	Bytes  int
	Digest string
}

// IsWhole reports whether the body was kept.
func (s StoredAnswer) IsWhole() bool {
	return len(s.Body) == s.Bytes
}

// Claim is the right to execute a request that must run at most once.
type Claim interface {
	// Finish stores the answer for later calls with the same key.
	Finish(ctx context.Context, s StoredAnswer) error
	// Release makes the key available again; it is called only if nothing was dispatched.
	Release(ctx context.Context) error
	// MarkInDoubt marks the outcome as unknown, after a dispatch whose bill and answer were not both
	// stored.
	MarkInDoubt(ctx context.Context) error
}

// IdempotencyGuard ensures that a request that is not idempotent runs at most once in the fleet.
type IdempotencyGuard interface {
	// Claim returns the right to execute the request, or the stored answer of an earlier request
	// with the same key. The error is a value.Refusal with StillRunning, OutcomeUnknown,
	// IdempotencyKeyReused or JournalUnavailable.
	Claim(ctx context.Context, r value.Request) (Claim, *StoredAnswer, error)
}
