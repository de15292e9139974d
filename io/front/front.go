package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/justinas/alice"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/flow"
)

// Server serves a job into a sink; *flow.Flow is one.
type Server interface {
	// Serve returns once the answer is whole; the error is a value.Refusal.
	Serve(ctx context.Context, j flow.Job, s flow.Sink) (flow.Result, error)
}

// Config sets up the callers' face.
type Config struct {
	Server   Server
	Snapshot func() state.State
	// Able reports whether the instance can keep a further bill; while it can't, nothing new is run.
	Able func() bool
	// Keys maps the hexadecimal SHA-256 sums of API keys to client accounts.
	Keys   map[string]value.AccountName
	Signer *Signer
	Now    func() time.Time
	Limits Limits
}

// Limits bounds what one caller can cost.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// ReadTime bounds the time in which a body must have arrived.
	ReadTime time.Duration
	// WriteTime bounds the time in which the caller must take each piece of an answer.
	WriteTime time.Duration
	// InFlight bounds the requests that are held at once.
	InFlight int
}

// Front is the callers' face.
type Front struct {
	Config
	slots chan struct{}
}

type handler func(w http.ResponseWriter, r *http.Request, c caller) error

// caller is who sends a request, and under which identifier it runs.
type caller struct {
	account value.AccountName
	id      value.RequestID
}

// New returns a face, or an error that names what the configuration lacks.
func New(c Config) (*Front, error) {
	switch {
	case c.Server == nil:
		return nil, errors.New("front: no server")
	case c.Snapshot == nil:
		return nil, errors.New("front: no snapshot")
	case c.Able == nil:
		return nil, errors.New("front: nothing tells whether bills can be kept")
	case c.Signer == nil:
		return nil, errors.New("front: no signer")
	case c.Now == nil:
		return nil, errors.New("front: no clock")
	case c.Limits.BodyBytes <= 0 || c.Limits.ReadTime <= 0 || c.Limits.WriteTime <= 0 || c.Limits.InFlight <= 0:
		return nil, errors.New("front: limits must be positive")
	}
	return &Front{Config: c, slots: make(chan struct{}, c.Limits.InFlight)}, nil
}

// Handler returns the face's routes.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", f.caller(f.chat))
	mux.Handle("/v1/services/{service}/{path...}", f.caller(f.service))
	mux.HandleFunc("GET /ready", f.ready)
	return mux
}

func (f *Front) caller(h handler) http.Handler {
	return alice.New(f.able, f.held, f.bounded).Then(f.authenticated(h))
}

// able refuses before anything runs whose bill could not be kept.
func (f *Front) able(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Able() {
			writeProblem(w, "", value.Refusal{
				Reason: value.ReasonOverloaded, NotRun: true, RetryAfter: time.Second, Detail: "too many bills wait to be kept",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// held refuses at once what exceeds the face's own capacity, before anything of the body is read.
func (f *Front) held(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case f.slots <- struct{}{}:
		default:
			writeProblem(w, "", value.Refusal{
				Reason: value.ReasonOverloaded, NotRun: true, RetryAfter: time.Second, Detail: "instance holds as many requests as it may",
			})
			return
		}
		defer func() { <-f.slots }()
		next.ServeHTTP(w, r)
	})
}

func (f *Front) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, f.Limits.BodyBytes)
		next.ServeHTTP(w, r)
	})
}

func (f *Front) authenticated(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := caller{id: value.RequestID(uuid.NewString())}
		w.Header().Set(headerRequest, string(c.id))
		account, ok := f.Keys[conf.HashKey(bearer(r))]
		if !ok {
			writeProblem(w, c.id, value.Refusal{Reason: value.ReasonUnknownAccount, NotRun: true, Detail: "API key is not known"})
			return
		}
		c.account = account
		if err := h(w, r, c); err != nil {
			writeProblem(w, c.id, err)
		}
	})
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	s := f.Snapshot()
	if s.Leaving || s.Config.Revision == 0 || !f.Able() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
