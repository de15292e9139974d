package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"endivehitch/core/policy"
)

const (
	// firstRequestTime is how long a drained server waits for the first request on a connection that
	// it has accepted. Callers don't wait longer for their request to be read.
	firstRequestTime = time.Second
	// finalAnswerTime is how long the final answers of requests that outlast the server may take.
	finalAnswerTime = 300 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// HTTP holds the handler, limits and timeouts; its BaseContext and ConnState must not be set.
	HTTP *http.Server
	// EndCause is the cause with which the contexts of requests are cancelled that outlast the server.
	EndCause error
}

// Server is an HTTP server that can be drained without cutting off a request that it has read.
type Server struct {
	http     *http.Server
	endCause error
	// active counts the requests in flight, and open the connections.
	active atomic.Int64
	open   atomic.Int64
	// quiet receives a value when active or open has dropped to zero.
	quiet    chan struct{}
	listener policy.Cell[net.Listener]
	// endRequests cancels the contexts of all requests.
	endRequests context.CancelCauseFunc
}

// New returns a server that isn't serving yet, or an error when the configuration is incomplete.
func New(c ServerConfig) (*Server, error) {
	if c.HTTP == nil || c.HTTP.Handler == nil || c.EndCause == nil {
		return nil, errors.New("HTTP server: HTTP, its Handler, and EndCause are required")
	}
	requests, endRequests := context.WithCancelCause(context.Background())
	s := &Server{http: c.HTTP, endCause: c.EndCause, endRequests: endRequests, quiet: make(chan struct{}, 1)}
	s.http.BaseContext = func(net.Listener) context.Context { return requests }
	s.http.ConnState = s.countOpen
	s.http.Handler = s.countActive(c.HTTP.Handler)
	return s, nil
}

// Serve serves the listener until the server is drained or closed.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Update(func(net.Listener) net.Listener { return l })
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", l.Addr(), err)
}

// Active returns the number of requests in flight.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// AwaitIdle returns when no request is in flight, or when the context ends.
func (s *Server) AwaitIdle(ctx context.Context) {
	for s.active.Load() > 0 {
		select {
		case <-s.quiet:
		case <-ctx.Done():
			return
		}
	}
}

// Drain accepts no further connections, closes the idle ones, and returns when all requests have been
// answered, those on connections that were just accepted included. Requests that are still in flight when
// the context ends are cancelled with the configured cause, so that they get a final answer.
//
// http.Server.Shutdown would close a connection, unanswered, whose request it reads after its start.
func (s *Server) Drain(ctx context.Context) error {
	if l := s.listener.Get(); l != nil {
		// It fails only if the listener is closed already.
		_ = l.Close()
	}
	s.http.SetKeepAlivesEnabled(false)
	s.awaitConnections(ctx)
	if ctx.Err() != nil {
		s.endRequests(s.endCause)
		final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTime)
		defer cancel()
		s.awaitConnections(final)
	}
	return s.Close()
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close HTTP server: %w", err)
	}
	return nil
}

// awaitConnections returns when all connections are closed or have no request, or when the context ends.
func (s *Server) awaitConnections(ctx context.Context) {
	first := time.NewTimer(firstRequestTime)
	defer first.Stop()
	mayGetRequest := true
	for s.open.Load() > 0 && (mayGetRequest || s.active.Load() > 0) {
		select {
		case <-s.quiet:
		case <-first.C:
			mayGetRequest = false
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.decrement(&s.active)
		next.ServeHTTP(w, r)
	})
}

func (s *Server) countOpen(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.decrement(&s.open)
	}
}

func (s *Server) decrement(counter *atomic.Int64) {
	if counter.Add(-1) > 0 {
		return
	}
	select {
	case s.quiet <- struct{}{}:
	default:
		// A value is waiting already.
	}
}
