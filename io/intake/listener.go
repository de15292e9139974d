package intake

import (
	"net"
	"sync"
	"time"

	core "endivehitch/core/intake"
)

const (
	// headSlack is what a connection may send beyond the limit of a head: the part of a body that is read with it.
	headSlack = 8 << 10
	// encryptedSlack is the same with the TLS handshake and a record that is read ahead.
	encryptedSlack = 48 << 10
	// defaultHeadBytes bounds a head while the configuration states no limit.
	defaultHeadBytes = 64 << 10
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// HeadBytes returns the limit of a head in bytes; zero means that there is none so far.
	HeadBytes func() int
	// HeadTime is the time in which the head of a request after the first one must arrive, from its first part on.
	HeadTime time.Duration
	// Encrypted is set if TLS runs on the connections, which then get no answer in plain text.
	Encrypted bool
}

// Listener accepts callers' connections and bounds their number by the limits of its pool.
type Listener struct {
	net.Listener
	pool   *Pool
	config ListenerConfig
	mu     sync.Mutex
	conns  map[*Conn]struct{}
	fresh  int
}

// Listen returns a listener that accepts the connections of l within the pool's limits.
func (p *Pool) Listen(l net.Listener, c ListenerConfig) *Listener {
	return &Listener{Listener: l, pool: p, config: c, conns: make(map[*Conn]struct{})}
}

// Accept returns the next connection that is within the limits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection, for which another one may be closed, or refuses it and returns nil.
func (l *Listener) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, listener: l}
	c.share = l.pool.Open(c.refuse)
	c.since.Store(l.pool.config.Now().UnixNano())
	l.mu.Lock()
	closed, needed, found := core.SelectClosed(l.pool.config.Limits, core.Connections{Open: len(l.conns), Fresh: l.fresh}, l.waiting)
	if found {
		l.conns[c] = struct{}{}
		l.fresh++
	}
	l.mu.Unlock()
	if needed {
		l.pool.Report(KindConnections)
	}
	if !found {
		c.refuse()
		return nil
	}
	if needed {
		closed.refuse()
	}
	return c
}

// waiting yields the connections that wait for a head; the listener is locked.
func (l *Listener) waiting(yield func(core.Waiting[*Conn]) bool) {
	for c := range l.conns {
		if c.phase.Load() != waiting {
			continue
		}
		if !yield(core.Waiting[*Conn]{Key: c, Fresh: !c.used.Load(), Since: time.Unix(0, c.since.Load())}) {
			return
		}
	}
}

// noteUse counts the connection as one that has had a request.
func (l *Listener) noteUse(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		l.fresh--
		c.isCountedAsUsed = true
	}
}

// remove forgets a closed connection.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if !c.isCountedAsUsed {
		l.fresh--
	}
}

// Open returns the number of connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) headBytes() int {
	slack := headSlack
	if l.config.Encrypted {
		slack = encryptedSlack
	}
	limit := l.config.HeadBytes()
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	return limit + slack
}
