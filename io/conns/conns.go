package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Config sets up a Pool.
type Config struct {
	// Dial opens a connection to the address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now tells the time.
	Now func() time.Time
	// MaxIdle is how many idle connections to one server are kept.
	MaxIdle int
	// Buffer is the size of a connection's read buffer in bytes.
	Buffer int
}

// Key identifies one incarnation of a server.
type Key struct {
	ID      string
	Address string
}

// Pool holds idle connections by server; it is safe for concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	idle   map[Key][]*Conn
	closed bool
}

// Conn is a connection that one request uses at a time.
type Conn struct {
	net.Conn
	// R reads what the server sends.
	R *bufio.Reader
	// Reused is set when the connection has carried a request before.
	Reused bool
	key    Key
	until  time.Time
}

// New returns an empty pool, or an error that names what the configuration lacks.
func New(c Config) (*Pool, error) {
	switch {
	case c.Dial == nil:
		return nil, errors.New("connections: no dialer")
	case c.Now == nil:
		return nil, errors.New("connections: no clock")
	case c.MaxIdle < 0 || c.Buffer < 1:
		return nil, fmt.Errorf("connections: %d idle, buffer of %d bytes", c.MaxIdle, c.Buffer)
	}
	return &Pool{config: c, idle: make(map[Key][]*Conn)}, nil
}

// Get returns an idle connection to the server, or opens one; fresh asks for a new one.
func (p *Pool) Get(ctx context.Context, key Key, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(key)
		if c == nil {
			break
		}
		if p.config.Now().Before(c.until) && quiet(c) {
			return c, nil
		}
		// The server or its timeout has ended it already, so the error of closing says nothing.
		_ = c.Close()
	}
	raw, err := p.config.Dial(ctx, "tcp", key.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", key.Address, err)
	}
	return &Conn{Conn: raw, R: bufio.NewReaderSize(raw, p.config.Buffer), key: key}, nil
}

// Put keeps the connection for the next request, for at most the time.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	c.Reused = true
	c.until = p.config.Now().Add(keep)
	p.mu.Lock()
	full := p.closed || keep <= 0 || len(p.idle[c.key]) >= p.config.MaxIdle
	if !full {
		p.idle[c.key] = append(p.idle[c.key], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// Retain closes the idle connections of servers that are not wanted any more, and those past their time.
func (p *Pool) Retain(wanted func(Key) bool) {
	now := p.config.Now()
	var over []*Conn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(key) && now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			over = append(over, c)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
	p.mu.Unlock()
	for _, c := range over {
		_ = c.Close()
	}
}

// Close closes all idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retain(func(Key) bool { return false })
}

// take returns the connection that was used last, since the others are closer to their timeout.
func (p *Pool) take(key Key) *Conn {
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

// quiet reports whether the connection is open and nothing has arrived on it.
func quiet(c *Conn) bool {
	if c.R.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(failed, syscall.EAGAIN) || errors.Is(failed, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}
