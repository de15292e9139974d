package carry

import (
	"context"
	"errors"
	"io"
	"time"

	"endivehitch/core/relay"
)

// Errors of a Backend, by what is known of the run.
var (
	// ErrUnsent is returned when the server can't have received the request.
	ErrUnsent = errors.New("request was not sent")
	// ErrLost is returned when the request was sent and no whole head of an answer came back.
	ErrLost = errors.New("answer was lost")
)

// Run is one send of a request to one server; H is the front end's type of heads.
type Run[H any] struct {
	Server  relay.Server
	Request relay.Request
	Account relay.Account
	// Head and Body are the request as the caller sent it.
	Head H
	Body []byte
	// Left is how long the server may work.
	Left time.Duration
	// Model replaces the caller's choice where it isn't empty.
	Model relay.ModelName
	// Rank is the priority, 0 being the most urgent.
	Rank int
	// After is the last event that the caller has received; empty means none.
	After string
	// Fresh asks for a new connection, as an idle one may be dead without notice.
	Fresh bool
}

// Answer is a server's answer, whose head has been read.
type Answer[H any] struct {
	Status int
	Head   H
	// NotRun is set when the server states that it has not run the request.
	NotRun bool
	// Signed is set when the answer bears the server's signature.
	Signed bool
	// Stream is set when the body is an event stream.
	Stream bool
	// Encoded is set when the body is in an encoding that nobody asked for.
	Encoded bool
	Report  relay.Report
	// Reported is set when the answer tells the server's load.
	Reported bool
	// Confidence is the model's opinion of the answer, from 0 to 100; negative means unsaid.
	Confidence int
	// Length is the body's length in bytes; negative means unstated.
	Length int64
	// Body ends with io.EOF only when it is whole; closing it early gives up the run.
	Body io.ReadCloser
}

// Backend sends runs to backend servers.
type Backend[H any] interface {
	// Send returns once the answer's head is read; the error wraps ErrUnsent or ErrLost.
	Send(ctx context.Context, r Run[H]) (*Answer[H], error)
}

// Sink takes the answer for the caller.
type Sink[H any] interface {
	// Begin sends the answer's head.
	Begin(a *Answer[H]) error
	// Write sends a part of the body at once.
	Write(b []byte) error
}

// Job is one request to be seen through.
type Job[H any] struct {
	Request relay.Request
	Head    H
	Body    []byte
}
