package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Config holds the dependencies and limits of a Pool.
type Config struct {
	// Dial opens a connection to the address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now returns the current time.
	Now func() time.Time
	// MaxIdlePerServer is how many idle connections to one server are kept.
	MaxIdlePerServer int
	// ReadBufferBytes is the size of a connection's read buffer in bytes.
	ReadBufferBytes int
}

// Key identifies one incarnation of a server.
type Key struct {
	ID      string
	Address string
}

// Pool keeps idle connections by server; it is safe for concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	idle   map[Key][]*Conn
	closed bool
}

// ErrReadLimit is returned by a Conn's Reader when the server has sent more than LimitReads allows.
var ErrReadLimit = errors.New("server sent more than the read limit")

// Conn is a connection that is used by one request at a time.
type Conn struct {
	net.Conn
	// Reader reads what the server sends.
	Reader *bufio.Reader
	source *limitedSource
	// Reused is set when the connection has served a request before.
	Reused  bool
	key     Key
	expires time.Time
}

// New returns an empty pool, or an error that names what is wrong with the configuration.
func New(c Config) (*Pool, error) {
	switch {
	case c.Dial == nil:
		return nil, errors.New("connection pool: no dialer")
	case c.Now == nil:
		return nil, errors.New("connection pool: no clock")
	case c.MaxIdlePerServer < 0 || c.ReadBufferBytes < 1:
		return nil, fmt.Errorf("connection pool: invalid limits: %d idle connections, read buffer of %d bytes", c.MaxIdlePerServer, c.ReadBufferBytes)
	}
	return &Pool{config: c, idle: make(map[Key][]*Conn)}, nil
}

// ErrIdleClosed is returned by GetSteady when the server has closed the idle connections to it before they expired.
var ErrIdleClosed = errors.New("server closed its idle connections")

// GetSteady is like Get without forceNew, but opens no connection if the server has closed idle ones: it may be another
// process of the server by now.
func (p *Pool) GetSteady(ctx context.Context, key Key) (*Conn, error) {
	c, isClosed := p.usableIdle(key)
	switch {
	case c != nil:
		return c, nil
	case isClosed:
		return nil, ErrIdleClosed
	}
	return p.Get(ctx, key, true)
}

// usableIdle removes and returns a usable idle connection to the server, or nil when there is none, and reports whether the
// server has closed one.
func (p *Pool) usableIdle(key Key) (usable *Conn, isClosed bool) {
	for c := p.popIdle(key); c != nil; c = p.popIdle(key) {
		isExpired := !p.config.Now().Before(c.expires)
		if !isExpired && c.IsUsable() {
			return c, isClosed
		}
		isClosed = isClosed || !isExpired
		// The connection is already unusable, so an error from closing it doesn't matter.
		_ = c.Close()
	}
	return nil, isClosed
}

// Get returns an idle connection to the server, or opens one when there is none or forceNew is set.
func (p *Pool) Get(ctx context.Context, key Key, forceNew bool) (*Conn, error) {
	if !forceNew {
		if c, _ := p.usableIdle(key); c != nil {
			return c, nil
		}
	}
	raw, err := p.config.Dial(ctx, "tcp", key.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", key.Address, err)
	}
	source := &limitedSource{raw: raw, remaining: unlimited}
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(source, p.config.ReadBufferBytes), source: source, key: key}, nil
}

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Source returns what the Reader reads from.
func (c *Conn) Source() io.Reader {
	return c.source
}

// LimitReads makes the Reader fail with ErrReadLimit once it needs more than n further bytes from the
// server. The limit holds until the next call of LimitReads or UnlimitReads.
func (c *Conn) LimitReads(n int) {
	c.source.remaining = n
}

// UnlimitReads removes the limit that LimitReads has set.
func (c *Conn) UnlimitReads() {
	c.source.remaining = unlimited
}

// unlimited is the remaining number of bytes of a limitedSource without a limit.
const unlimited = -1

// limitedSource reads from a connection until the remaining bytes are used up. Only the goroutine that
// reads the connection uses it.
type limitedSource struct {
	raw       net.Conn
	remaining int
}

// Read reads at most the remaining bytes.
func (s *limitedSource) Read(b []byte) (int, error) {
	if s.remaining == unlimited {
		return s.raw.Read(b)
	}
	if s.remaining == 0 {
		return 0, ErrReadLimit
	}
	n, err := s.raw.Read(b[:min(len(b), s.remaining)])
	s.remaining -= n
	return n, err
}

// Put keeps the connection idle for the next request, for at most the lifetime. It closes the connection
// when the lifetime is not positive, the limit on idle connections is reached, or the pool is closed.
func (p *Pool) Put(c *Conn, lifetime time.Duration) {
	c.Reused = true
	c.expires = p.config.Now().Add(lifetime)
	p.mu.Lock()
	discard := p.closed || lifetime <= 0 || len(p.idle[c.key]) >= p.config.MaxIdlePerServer
	if !discard {
		p.idle[c.key] = append(p.idle[c.key], c)
	}
	p.mu.Unlock()
	if discard {
		_ = c.Close()
	}
}

// Retain closes the idle connections of servers that are no longer wanted, and the expired ones.
func (p *Pool) Retain(isWanted func(Key) bool) {
	now := p.config.Now()
	var discarded []*Conn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if isWanted(key) && now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			discarded = append(discarded, c)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
	p.mu.Unlock()
	for _, c := range discarded {
		_ = c.Close()
	}
}

// Close closes all idle connections; connections put back later are closed at once.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retain(func(Key) bool { return false })
}

// popIdle removes and returns an idle connection, or nil when there is none. It takes the most recently
// used one, since the others are closer to their expiry.
func (p *Pool) popIdle(key Key) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	return c
}

// IsUsable reports whether the connection is open and has no unread data.
func (c *Conn) IsUsable() bool {
	return c.Reader.Buffered() == 0 && Peek(c.Conn) == PeekNothing
}
