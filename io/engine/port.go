package engine

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/value"
)

// ErrNotSent marks a call of which nothing reached the backend server.
var ErrNotSent = errors.New("nothing was sent to the backend server")

// ErrCutOff marks an answer that ended before it was whole.
var ErrCutOff = errors.New("answer cut off")

// ErrUnsupported marks what the backend server's protocol can't say.
var ErrUnsupported = errors.New("not supported by the backend server")

// Call is one run to be started at a backend server.
type Call struct {
	Request value.RequestID
	// Version is empty for a plain service.
	Version  value.VersionKey
	Priority value.Priority
	// Method and Path are used for plain services; an engine has its own.
	Method string
	Path   string
	// ContentType is the media type of the body.
	ContentType string
	Body        []byte
	Stream      bool
	// Key is the idempotency key passed on to a plain service, or empty.
	Key value.IdempotencyKey
}

// Piece is one part of an answer.
type Piece struct {
	// Data is the payload: an SSE event's data for a streamed answer, body bytes for a whole one.
	Data []byte
}

// Usage is what the engine reports of a finished run.
type Usage struct {
	InputTokens  int
	OutputTokens int
}

// Head is the start of an answer.
type Head struct {
	Status      int
	ContentType string
}

// Answer is a running answer; it is read by one goroutine.
type Answer interface {
	// Head returns the status and media type.
	Head() Head
	// Next returns the next piece; io.EOF follows the last piece of a whole answer, and
	// an error that wraps ErrCutOff says that the answer is not whole.
	Next(ctx context.Context) (Piece, error)
	// Usage returns what the engine reported; it is complete after io.EOF.
	Usage() Usage
	// Cancel stops the run and frees its resources; it may be called at any time and more than once.
	Cancel()
}

// Runner starts runs at backend servers.
type Runner interface {
	// Start returns once the answer's head has arrived; an error that wraps ErrNotSent
	// means that the server received nothing, any other error leaves that open.
	Start(ctx context.Context, b value.BackendServer, c Call) (Answer, error)
}

// Report is a backend server's own statement of its load.
type Report struct {
	Server  value.ServerID
	Running int
	Queued  int
	At      time.Time
}

// CacheEvent says that a server holds or has dropped a prompt prefix; it comes late and with gaps.
type CacheEvent struct {
	Server  value.ServerID
	Prefix  uint64
	Held    bool
	At      time.Time
	Ordinal int64
}

// Reporter reads what servers say of themselves.
type Reporter interface {
	// Load returns the server's latest load report.
	Load(ctx context.Context, b value.BackendServer) (Report, error)
	// CacheEvents returns the events after the ordinal.
	CacheEvents(ctx context.Context, b value.BackendServer, after int64) ([]CacheEvent, error)
}

// OrderVerb is what an order asks of a backend server.
type OrderVerb string

// The verbs of orders.
const (
	OrderLoad   OrderVerb = "Load"
	OrderUnload OrderVerb = "Unload"
	OrderRole   OrderVerb = "Role"
)

// Order asks a backend server to carry a version or to change its role.
type Order struct {
	Verb    OrderVerb
	Version value.VersionKey
	Role    string
	// Fence is the fencing token; a server that checks it refuses a lower one than it has seen.
	Fence int64
}

// Commander sends orders to backend servers.
type Commander interface {
	// Send delivers the order; it fails with StaleFence where the server refuses the token.
	Send(ctx context.Context, b value.BackendServer, o Order) error
	// Carried reads back which versions the server has loaded.
	Carried(ctx context.Context, b value.BackendServer) ([]value.VersionKey, error)
}

// Mover exports and imports a running request's KV cache between servers.
type Mover interface {
	// Export returns the cache of the request, or ErrUnsupported.
	Export(ctx context.Context, b value.BackendServer, r value.RequestID) ([]byte, error)
	// Import hands a cache to the server, or returns ErrUnsupported.
	Import(ctx context.Context, b value.BackendServer, r value.RequestID, cache []byte) error
}
