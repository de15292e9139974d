package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/justinas/alice"

	core "endivehitch/core/intake"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/flow"
	"endivehitch/io/intake"
)

// JobServer runs a job and writes its answer; *flow.Flow implements it.
type JobServer interface {
	// Serve returns once the answer is complete or has failed; the error is a value.Refusal.
	Serve(ctx context.Context, j flow.Job, writer flow.ResponseWriter) (flow.Result, error)
}

// Config holds what a Front needs; every field but Keys is required.
type Config struct {
	JobServer JobServer
	// Snapshot returns the current control state.
	Snapshot func() state.State
	// CanStoreBills reports whether the instance can store another bill; while it can't, new requests
	// are refused.
	CanStoreBills func() bool
	// Keys maps the hexadecimal SHA-256 digests of API keys to client accounts.
	Keys   map[string]value.AccountName
	Signer *Signer
	Now    func() time.Time
	Limits Limits
	// Intake bounds what callers take of the instance's memory; nil stands for one with default limits.
	Intake *intake.Pool
}

// Limits bounds the memory, time and concurrency that callers can take.
type Limits struct {
	// BodyBytes bounds the size of a request body.
	BodyBytes int64
	// ReadTimeout is the time within which the complete body must arrive, from the start of reading it.
	ReadTimeout time.Duration
	// WriteTimeout is the time within which the caller must accept each write of an answer.
	WriteTimeout time.Duration
	// InFlight bounds the number of requests handled at once.
	InFlight int
}

// Front serves the HTTP API for callers.
type Front struct {
	Config
	// inFlight is a semaphore with one slot for each request that is being handled.
	inFlight chan struct{}
}

type handler func(w http.ResponseWriter, r *http.Request, c caller) error

// caller is the authenticated sender of a request, with the identifier that the request got.
type caller struct {
	account value.AccountName
	id      value.RequestID
}

// New returns a Front, or an error that names what the configuration lacks.
func New(c Config) (*Front, error) {
	switch {
	case c.JobServer == nil:
		return nil, errors.New("front: no job server configured")
	case c.Snapshot == nil:
		return nil, errors.New("front: no control state snapshot configured")
	case c.CanStoreBills == nil:
		return nil, errors.New("front: no check configured for whether bills can be stored")
	case c.Signer == nil:
		return nil, errors.New("front: no session token signer configured")
	case c.Now == nil:
		return nil, errors.New("front: no clock configured")
	case c.Limits.BodyBytes <= 0 || c.Limits.ReadTimeout <= 0 || c.Limits.WriteTimeout <= 0 || c.Limits.InFlight <= 0:
		return nil, errors.New("front: body size, read time-out, write time-out and in-flight limits must be positive")
	}
	if c.Intake == nil {
		var err error
		if c.Intake, err = intake.New(intake.Config{Limits: core.Limits{BodyTime: c.Limits.ReadTimeout}, Now: c.Now}); err != nil {
			return nil, fmt.Errorf("front: %w", err)
		}
	}
	return &Front{Config: c, inFlight: make(chan struct{}, c.Limits.InFlight)}, nil
}

// Handler returns the handler of all routes.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", f.route(f.chat))
	mux.Handle("/v1/services/{service}/{path...}", f.route(f.service))
	mux.HandleFunc("GET /ready", f.ready)
	return f.Intake.Guard(mux)
}

// route wraps a handler in the checks that each request must pass: billing, in-flight limit and
// API key.
func (f *Front) route(h handler) http.Handler {
	return alice.New(f.requireBilling, f.limitInFlight).Then(f.authenticate(h))
}

// requireBilling refuses requests while their bills could not be stored.
func (f *Front) requireBilling(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.CanStoreBills() {
			writeProblem(w, "", value.Refusal{
				Reason: value.ReasonOverloaded, NotRun: true, RetryAfter: time.Second, Detail: "too many bills wait to be kept",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limitInFlight refuses requests over the in-flight limit at once, before any of the body is read.
func (f *Front) limitInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case f.inFlight <- struct{}{}:
		default:
			writeProblem(w, "", value.Refusal{
				Reason: value.ReasonOverloaded, NotRun: true, RetryAfter: time.Second, Detail: "instance holds as many requests as it may",
			})
			return
		}
		defer func() { <-f.inFlight }()
		next.ServeHTTP(w, r)
	})
}

func (f *Front) authenticate(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := caller{id: value.RequestID(uuid.NewString())}
		w.Header().Set(headerRequest, string(c.id))
		account, ok := f.Keys[conf.HashKey(bearerToken(r))]
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
	if s.Leaving || s.Config.Revision == 0 || !f.CanStoreBills() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
