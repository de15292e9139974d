package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

const (
	defaultDialTimeout = 2 * time.Second
	backoffFirst       = 200 * time.Millisecond
	backoffLimit       = 10 * time.Second
)

// DialFunc opens a connection to an address; net.Dialer's DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// TLS presents the instance's certificate and verifies those of others; nil calls without TLS.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// PerPeer bounds the calls under way to one instance; zero means the default.
	PerPeer int
	// Idle is how long an unused connection is kept; zero means the default.
	Idle time.Duration
	// Seed makes the backoff's jitter repeatable.
	Seed uint64
}

// Client calls other instances over one kept connection each.
type Client struct {
	config ClientConfig

	mu     sync.Mutex
	links  map[string]*link
	rnd    *rand.Rand
	closed bool
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) (*Client, error) {
	if c.TLS != nil && len(c.TLS.Certificates) == 0 && c.TLS.GetClientCertificate == nil {
		return nil, fmt.Errorf("peer client: TLS without a certificate of its own")
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: defaultDialTimeout}).DialContext
	}
	c.PerPeer = orDefault(c.PerPeer, defaultPerPeer)
	c.Idle = orDefault(c.Idle, defaultIdle)
	return &Client{
		config: c,
		links:  make(map[string]*link),
		rnd:    rand.New(rand.NewPCG(c.Seed, 0)),
	}, nil
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, to value.Instance, method string, args, reply any) error {
	l, err := c.link(to.PeerAddress)
	if err != nil {
		return err
	}
	return l.call(ctx, method, args, reply)
}

// Open returns how many connections are open.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for _, l := range c.links {
		if l.isOpen() {
			open++
		}
	}
	return open
}

// Close closes all connections; calls under way fail and later ones are not sent.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = make(map[string]*link)
	c.closed = true
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (c *Client) link(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("client closed: %w", ErrUnreachable)
	}
	l, ok := c.links[address]
	if ok {
		return l, nil
	}
	now := time.Now()
	maps.DeleteFunc(c.links, func(_ string, l *link) bool { return l.unused(now) })
	l = &link{
		client:  c,
		address: address,
		slots:   make(chan struct{}, c.config.PerPeer),
		dialing: make(chan struct{}, 1),
		backoff: policy.Backoff{First: backoffFirst, Limit: backoffLimit},
		next:    now,
	}
	c.links[address] = l
	return l, nil
}

// forget drops a link that was unused for the idle time.
func (c *Client) forget(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

func (c *Client) delay(b policy.Backoff) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return b.Delay(c.rnd)
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
	defer cancel()
	conn, err := c.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if c.config.TLS == nil {
		return conn, nil
	}
	secure := tls.Client(conn, c.tlsFor(address))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("shake hands with %s: %w", address, err)
	}
	return secure, nil
}

func (c *Client) tlsFor(address string) *tls.Config {
	if c.config.TLS.ServerName != "" {
		return c.config.TLS
	}
	own := c.config.TLS.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		own.ServerName = host
	}
	return own
}
