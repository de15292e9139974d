package engine

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/value"
)

// ErrNotSent is wrapped by the errors of calls of which the backend server received nothing.
var ErrNotSent = errors.New("nothing was sent to the backend server")

// ErrTruncated is wrapped by the errors of answers that ended before they were complete.
var ErrTruncated = errors.New("answer cut off")

// ErrUnsupported is wrapped by the errors of operations that the backend server's protocol lacks.
var ErrUnsupported = errors.New("not supported by the backend server")

// Call is one attempt to run a request at a backend server.
type Call struct {
	Request value.RequestID
	// Version is empty for a plain service.
	Version  value.VersionKey
	Priority value.Priority
	// Method and Path are used for plain services only; engines have a fixed method and path.
	Method string
	Path   string
	// ContentType is the media type of the body.
	ContentType string
	Body        []byte
	Stream      bool
	// Key is the idempotency key that is passed on to the backend server, or empty.
	Key value.IdempotencyKey
}

// Piece is one part of an answer.
type Piece struct {
	// Data is the data of one server-sent event if the answer is streamed, otherwise bytes of the body.
	Data []byte
}

// Usage is the token usage that an engine reports for an answer.
type Usage struct {
	InputTokens  int
	OutputTokens int
}

// Head is the status and media type of an answer, which arrive before its body.
type Head struct {
	Status      int
	ContentType string
}

// Answer is an answer whose body is being received; one goroutine reads it.
type Answer interface {
	// Head returns the status and media type.
	Head() Head
	// Next returns the next piece; io.EOF follows the last piece of a complete answer, and an error
	// that wraps ErrTruncated means that the answer is incomplete.
	Next(ctx context.Context) (Piece, error)
	// Usage returns the usage reported so far; it is complete once Next has returned io.EOF.
	Usage() Usage
	// Cancel stops the attempt and frees its resources; it may be called at any time and more than
	// once.
	Cancel()
}

// Runner starts attempts at backend servers.
type Runner interface {
	// Start returns once the answer's head has arrived. An error that wraps ErrNotSent means that the
	// server received nothing; after any other error it may have received the call.
	Start(ctx context.Context, b value.BackendServer, c Call) (Answer, error)
}

// LoadReport is the load that a backend server reports: its running and queued requests at a time.
type LoadReport struct {
	Server  value.ServerID
	Running int
	Queued  int
	At      time.Time
}

// CacheEvent reports that a server has cached or dropped a prompt prefix; events arrive late and
// some are lost.
type CacheEvent struct {
	Server  value.ServerID
	Prefix  uint64
	Cached  bool
	At      time.Time
	Ordinal int64
}

// Reporter reads the reports of backend servers.
type Reporter interface {
	// Load returns the server's latest load report.
	Load(ctx context.Context, b value.BackendServer) (LoadReport, error)
	// CacheEvents returns the events whose ordinals are greater than the given one.
	CacheEvents(ctx context.Context, b value.BackendServer, afterOrdinal int64) ([]CacheEvent, error)
}

// OrderVerb is the action that an order requests.
type OrderVerb string

// The verbs of orders.
const (
	OrderLoad   OrderVerb = "Load"
	OrderUnload OrderVerb = "Unload"
	OrderRole   OrderVerb = "Role"
)

// Order is an instruction to a backend server to load or unload a version, or to change its role.
type Order struct {
	Verb    OrderVerb
	Version value.VersionKey
	Role    string
	// FencingToken lets a server that supports fencing refuse orders of an earlier leaseholder: it
	// refuses a token lower than the highest one that it has received.
	FencingToken int64
}

// Commander sends orders to backend servers.
type Commander interface {
	// Send delivers the order; the error wraps a StaleTokenError if the server refuses the token.
	Send(ctx context.Context, b value.BackendServer, o Order) error
	// LoadedVersions returns the versions that the server has loaded.
	LoadedVersions(ctx context.Context, b value.BackendServer) ([]value.VersionKey, error)
}

// CacheMover transfers the KV cache of a running request between servers.
type CacheMover interface {
	// Export returns the KV cache of the request, or an error that wraps ErrUnsupported.
	Export(ctx context.Context, b value.BackendServer, r value.RequestID) ([]byte, error)
	// Import sends a KV cache to the server, or returns an error that wraps ErrUnsupported.
	Import(ctx context.Context, b value.BackendServer, r value.RequestID, cache []byte) error
}
