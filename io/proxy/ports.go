package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	"endivehitch/core/relay"
)

// Errors of a Backend, by whether the server may have received the request.
var (
	// ErrUnsent is returned when the server cannot have received the request.
	ErrUnsent = errors.New("request was not sent")
	// ErrAnswerLost is returned when the server may have received the request, but no complete answer head
	// came back.
	ErrAnswerLost = errors.New("answer was lost")
	// ErrMayBeCold is returned, besides ErrUnsent, when the server has closed its idle connections and the attempt was meant for
	// a warm server.
	ErrMayBeCold = errors.New("server may have come back cold")
)

// Attempt is a request as it is to be sent to one server; H is the front end's type of message heads.
type Attempt[H any] struct {
	Server  relay.Server
	Request relay.Request
	Account relay.Account
	// Head and Body are those of the caller's request, unchanged.
	Head H
	Body []byte
	// TimeLeft is how long the server may take.
	TimeLeft time.Duration
	// Model overrides the model named by the caller unless it is empty.
	Model relay.ModelName
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// LastEventID is the ID of the last event that the caller has received; empty means none.
	LastEventID string
	// NewConnection asks for a new connection, since an idle one may have been lost without notice.
	NewConnection bool
	// WarmOnly is set if no keeper has granted the attempt, and the server's service has a cold rate.
	WarmOnly bool
}

// Answer is a server's answer after its head has been read.
type Answer[H any] struct {
	Status int
	Head   H
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	// Signed is set when the answer carries the server's signature.
	Signed bool
	// Stream is set when the body is an event stream.
	Stream bool
	// UnexpectedEncoding is set when the body has a content encoding that was not asked for.
	UnexpectedEncoding bool
	// Report is the server's load; it is valid only when Reported is set.
	Report relay.Report
	// Reported is set when the answer carries a load report.
	Reported bool
	// Backpressure is what the server asks of its callers.
	Backpressure relay.Backpressure
	// Cold is what the server states about its cold period.
	Cold relay.ColdStatement
	// Confidence is the model's confidence in the answer, from 0 to 100; negative means not stated.
	Confidence int
	// Length is the body's length in bytes; negative means not stated.
	Length int64
	// EndsWithConnection is set when nothing but the end of the connection marks the end of the body, which may also be
	// that of the server's process.
	EndsWithConnection bool
	// Body returns io.EOF only after the complete body; closing it earlier cancels the attempt.
	Body io.ReadCloser
}

// Backend sends requests to backend servers.
type Backend[H any] interface {
	// Send returns once the answer's head has been read; the error wraps ErrUnsent or ErrAnswerLost.
	Send(ctx context.Context, attempt Attempt[H]) (*Answer[H], error)
	// IsUp reports whether the server takes connections and keeps them.
	IsUp(ctx context.Context, server relay.Server) bool
	// IsGone reports whether the server's process has ended, as far as a new connection shows it.
	IsGone(ctx context.Context, server relay.Server) bool
}

// ResponseWriter writes the answer to the caller.
type ResponseWriter[H any] interface {
	// WriteHead writes the answer's head.
	WriteHead(a *Answer[H]) error
	// Write writes a part of the body; a part of a stream must be flushed at once.
	Write(b []byte) error
}

// Job is one request for a Dispatcher to serve.
type Job[H any] struct {
	Request relay.Request
	Head    H
	Body    []byte
}
