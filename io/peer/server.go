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
)

const (
	defaultConnections = 512
	defaultPerPeer     = 64
	defaultIdle        = time.Minute
	defaultGrace       = 10 * time.Second
	writeTimeout       = 5 * time.Second
	// The client closes an idle connection first, so that no call meets a connection that the server is closing.
	serverIdleFactor = 3
)

// ServerConfig sets up a Server.
type ServerConfig struct {
	// TLS must require and verify client certificates; nil serves without TLS.
	TLS *tls.Config
	// Connections bounds the accepted connections; zero means the default.
	Connections int
	// PerConnection bounds the calls that one connection has under way; zero means the default.
	PerConnection int
	// Idle is how long clients keep an unused connection; zero means the default.
	Idle time.Duration
	// Grace is how long calls under way may take once the server stops; zero means the default.
	Grace time.Duration
}

// Server offers methods to other instances.
type Server struct {
	config ServerConfig
	rpc    *rpc.Server
	places chan struct{}
	// draining is set once no further calls are read.
	draining atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without methods; it fails where TLS would admit unknown clients.
func NewServer(c ServerConfig) (*Server, error) {
	if c.TLS != nil && c.TLS.ClientAuth != tls.RequireAndVerifyClientCert {
		return nil, errors.New("peer server: TLS does not verify client certificates")
	}
	c.Connections = orDefault(c.Connections, defaultConnections)
	c.PerConnection = orDefault(c.PerConnection, defaultPerPeer)
	c.Idle = orDefault(c.Idle, defaultIdle)
	c.Grace = orDefault(c.Grace, defaultGrace)
	return &Server{
		config: c,
		rpc:    rpc.NewServer(),
		places: make(chan struct{}, c.Connections),
		conns:  make(map[net.Conn]struct{}),
	}, nil
}

// Register offers the receiver's methods under the name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register methods: %w", err)
	}
	return nil
}

// Serve answers calls until the context ends, then lets calls under way finish within the grace time.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.drain(l) })
	defer stop()
	var open sync.WaitGroup
	err := s.accept(ctx, l, &open)
	s.drain(l)
	if !s.finish(&open) {
		return errors.Join(err, errors.New("peer server: calls under way outlasted the grace time"))
	}
	return err
}

func (s *Server) accept(ctx context.Context, l net.Listener, open *sync.WaitGroup) error {
	for {
		s.places <- struct{}{}
		conn, err := l.Accept()
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		open.Go(func() {
			defer func() { <-s.places }()
			s.serve(ctx, conn)
		})
	}
}

// finish reports whether all connections ended within the grace time; the rest are cut.
func (s *Server) finish(open *sync.WaitGroup) bool {
	ended := make(chan struct{})
	go func() {
		open.Wait()
		close(ended)
	}()
	grace := time.NewTimer(s.config.Grace)
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
	s.keep(conn)
	defer s.drop(conn)
	if ctx.Err() != nil {
		return
	}
	if s.config.TLS != nil {
		secure := tls.Server(conn, s.config.TLS)
		if err := handshake(ctx, secure); err != nil {
			return
		}
		conn = secure
	}
	s.rpc.ServeCodec(serverCodec{
		wire:  newWire(conn, writeTimeout),
		slots: make(chan struct{}, s.config.PerConnection),
		idle:  s.config.Idle * serverIdleFactor,
		stop:  &s.draining,
	})
}

// handshake is bounded in time, so that a client that sends nothing soon frees its place.
func handshake(ctx context.Context, c *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.HandshakeContext(ctx)
}

func (s *Server) keep(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

// drain takes no further connections and calls; it may be called more than once.
func (s *Server) drain(l net.Listener) {
	s.draining.Store(true)
	_ = l.Close()
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
