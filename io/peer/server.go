package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"endivehitch/core/policy"
	"endivehitch/io/clock"
)

const (
	defaultMaxConnections = 512
	defaultMaxCalls       = 64
	defaultIdleTimeout    = time.Minute
	defaultShutdownGrace  = 10 * time.Second
	writeTimeout          = 5 * time.Second
	// serverIdleFactor makes the server's idle timeout longer than the client's, so that the client
	// closes an idle connection first and no call is sent on a connection that the server is closing.
	serverIdleFactor = 3
	// minAcceptPause is the longest first pause after a connection could not be accepted, as when the process has
	// no file descriptors left; it doubles up to maxAcceptPause.
	minAcceptPause = 10 * time.Millisecond
	maxAcceptPause = time.Second
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// TLS must require and verify client certificates; nil means connections without TLS.
	TLS *tls.Config
	// MaxConnections bounds the concurrent connections; zero means 512.
	MaxConnections int
	// MaxCallsPerConnection bounds the concurrent calls of one connection; zero means 64.
	MaxCallsPerConnection int
	// ClientIdleTimeout is how long clients keep an unused connection open; zero means one minute.
	// The server closes idle connections only after three times as long.
	ClientIdleTimeout time.Duration
	// OnError receives the errors of connections that could not be accepted; nil means that they are dropped.
	OnError func(error)
	// ShutdownGrace is how long calls in progress may take once the server stops; zero means 10 s.
	ShutdownGrace time.Duration
}

// Server serves the registered methods to other instances.
type Server struct {
	config          ServerConfig
	rpc             *rpc.Server
	connectionSlots chan struct{}
	// draining is set once the server stops reading calls.
	draining atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without methods; it fails if TLS is set but does not require and
// verify client certificates.
func NewServer(config ServerConfig) (*Server, error) {
	if config.TLS != nil && config.TLS.ClientAuth != tls.RequireAndVerifyClientCert {
		return nil, errors.New("peer server: TLS does not verify client certificates")
	}
	config.MaxConnections = orDefault(config.MaxConnections, defaultMaxConnections)
	config.MaxCallsPerConnection = orDefault(config.MaxCallsPerConnection, defaultMaxCalls)
	config.ClientIdleTimeout = orDefault(config.ClientIdleTimeout, defaultIdleTimeout)
	if config.OnError == nil {
		config.OnError = func(error) {}
	}
	config.ShutdownGrace = orDefault(config.ShutdownGrace, defaultShutdownGrace)
	return &Server{
		config:          config,
		rpc:             rpc.NewServer(),
		connectionSlots: make(chan struct{}, config.MaxConnections),
		conns:           make(map[net.Conn]struct{}),
	}, nil
}

// Register implements Registrar.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register methods: %w", err)
	}
	return nil
}

// Serve serves calls until the context ends and then lets calls in progress finish within the grace
// time; it returns an error if some take longer.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.drain(listener) })
	defer stop()
	var handlers sync.WaitGroup
	err := s.accept(ctx, listener, &handlers)
	s.drain(listener)
	if !s.awaitConnections(&handlers) {
		return errors.Join(err, errors.New("peer server: calls in progress outlasted the grace time"))
	}
	return err
}

// accept serves the connections of the listener until the context ends or the listener is closed.
func (s *Server) accept(ctx context.Context, listener net.Listener, handlers *sync.WaitGroup) error {
	backoff := policy.Backoff{InitialDelay: minAcceptPause, MaxDelay: maxAcceptPause}
	for {
		s.connectionSlots <- struct{}{}
		conn, err := listener.Accept()
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept peer connection: %w", err)
		case err != nil:
			<-s.connectionSlots
			s.config.OnError(fmt.Errorf("accept peer connection: %w", err))
			clock.WaitFully(ctx, backoff.Delay(clock.Random{}))
			backoff = backoff.WithFailure()
			continue
		}
		backoff = backoff.WithSuccess()
		handlers.Go(func() {
			defer func() { <-s.connectionSlots }()
			s.serve(ctx, conn)
		})
	}
}

// awaitConnections reports whether all connections ended within the grace time; it closes those
// that did not.
func (s *Server) awaitConnections(handlers *sync.WaitGroup) bool {
	ended := make(chan struct{})
	go func() {
		handlers.Wait()
		close(ended)
	}()
	grace := time.NewTimer(s.config.ShutdownGrace)
	defer grace.Stop()
	select {
	case <-ended:
		return true
	case <-grace.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	return false
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	s.trackConn(conn)
	defer s.closeConn(conn)
	if ctx.Err() != nil {
		return
	}
	if s.config.TLS != nil {
		tlsConn := tls.Server(conn, s.config.TLS)
		if err := handshake(ctx, tlsConn); err != nil {
			return
		}
		conn = tlsConn
	}
	s.rpc.ServeCodec(serverCodec{
		codec:       newCodec(conn, writeTimeout),
		slots:       make(chan struct{}, s.config.MaxCallsPerConnection),
		idleTimeout: s.config.ClientIdleTimeout * serverIdleFactor,
		draining:    &s.draining,
	})
}

// handshake runs the TLS handshake with a timeout, so that a client that sends nothing does not
// occupy a connection slot for long.
func handshake(ctx context.Context, c *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.HandshakeContext(ctx)
}

func (s *Server) trackConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) closeConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

// drain stops accepting connections and reading calls; it may be called more than once.
func (s *Server) drain(listener net.Listener) {
	s.draining.Store(true)
	_ = listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.SetReadDeadline(time.Now())
	}
}

func orDefault[T comparable](v, byDefault T) T {
	var zero T
	if v == zero {
		return byDefault
	}
	return v
}
