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
	// Keys maps the hexadecimal SHA-256 sums of API keys to client accounts.
	Keys map[string]value.AccountName
	Now  func() time.Time
	// BodyBytes bounds a request's body.
	BodyBytes int64
}

// Front is the callers' face.
type Front struct {
	Config
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
	case c.Now == nil:
		return nil, errors.New("front: no clock")
	case c.BodyBytes <= 0:
		return nil, errors.New("front: no bound on bodies")
	}
	return &Front{Config: c}, nil
}

// Handler returns the face's routes.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", f.authenticated(f.chat))
	mux.HandleFunc("GET /ready", f.ready)
	return alice.New(f.bounded).Then(mux)
}

func (f *Front) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, f.BodyBytes)
		next.ServeHTTP(w, r)
	})
}

func (f *Front) authenticated(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := caller{id: value.RequestID(uuid.NewString())}
		w.Header().Set(headerRequest, string(c.id))
		account, ok := f.Keys[hashKey(bearer(r))]
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
	if s.Leaving || s.Config.Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
