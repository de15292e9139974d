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
	// HTTP holds the handler, limits and timeouts; its BaseContext, ConnContext and ConnState must not be set.
	HTTP *http.Server
	// EndCause is the cause with which the contexts of requests are cancelled that outlast the server.
	EndCause error
}

// Server is an HTTP server that can be drained without cutting off a request that it has read.
type Server struct {
	http        *http.Server
	endCause    error
	connections tracker
	phase       atomic.Int32
	listener    policy.Cell[net.Listener]
	// endRequests cancels the contexts of all requests.
	endRequests context.CancelCauseFunc
}

// The phases of a Server.
const (
	// serving is its usual phase.
	serving int32 = iota
	// draining keeps no connection open after an answer.
	draining
	// sealed serves no request that has not begun.
	sealed
)

// New returns a server that isn't serving yet, or an error when the configuration is incomplete.
func New(c ServerConfig) (*Server, error) {
	if c.HTTP == nil || c.HTTP.Handler == nil || c.EndCause == nil {
		return nil, errors.New("HTTP server: HTTP, its Handler, and EndCause are required")
	}
	requests, endRequests := context.WithCancelCause(context.Background())
	s := &Server{http: c.HTTP, endCause: c.EndCause, endRequests: endRequests, connections: tracker{quiet: make(chan struct{}, 1)}}
	s.http.BaseContext = func(net.Listener) context.Context { return requests }
	s.http.ConnContext = s.connections.withConn
	s.http.ConnState = s.observe
	s.http.Handler = s.guard(c.HTTP.Handler)
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
	return int(s.connections.busy.Load())
}

// AwaitIdle returns when no request is in flight, or when the context ends.
func (s *Server) AwaitIdle(ctx context.Context) {
	for s.connections.busy.Load() > 0 {
		select {
		case <-s.connections.quiet:
		case <-ctx.Done():
			return
		}
	}
}

// Drain accepts no further connections, closes the idle ones, and returns when all requests have been
// answered, those on connections that were just accepted included. Requests that are still in flight when
// the context ends are cancelled with the configured cause, so that they get a final answer.
//
// http.Server.Shutdown would close a connection, unanswered, whose request it reads after its start, and
// http.Server.SetKeepAlivesEnabled one whose next request has arrived and is not parsed yet.
func (s *Server) Drain(ctx context.Context) error {
	if l := s.listener.Get(); l != nil {
		// It fails only if the listener is closed already.
		_ = l.Close()
	}
	s.phase.Store(draining)
	s.connections.closeIdle()
	s.awaitConnections(ctx)
	s.phase.Store(sealed)
	s.connections.closeUnused()
	s.AwaitIdle(ctx)
	if ctx.Err() != nil {
		s.endRequests(s.endCause)
		final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTime)
		defer cancel()
		s.AwaitIdle(final)
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
	for s.connections.open.Load() > 0 && (mayGetRequest || s.connections.busy.Load() > 0) {
		select {
		case <-s.connections.quiet:
		case <-first.C:
			mayGetRequest = false
		case <-ctx.Done():
			return
		}
	}
}

// guard passes on requests whose connection the server has not closed, so that a request which crosses the close never runs.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.connections.acquire(r) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
	})
}

// observe follows a connection's state. A connection that has no request any more is closed if the server is being drained.
func (s *Server) observe(c net.Conn, state http.ConnState) {
	tracked := s.connections.tracked(c)
	s.connections.observe(c, state)
	if state != http.StateIdle || tracked == nil {
		return
	}
	switch s.phase.Load() {
	case draining:
		tracked.closeIdle()
	case sealed:
		tracked.close(connIdle)
	}
}

// closingWriter asks the caller to close the connection after an answer that begins while the server is being drained.
type closingWriter struct {
	http.ResponseWriter
	server *Server
	began  bool
}

// WriteHeader sends the head of the answer.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, and the head before the first one.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *closingWriter) begin() {
	if !w.began && w.server.phase.Load() != serving {
		w.Header().Set("Connection", "close")
	}
	w.began = true
}
