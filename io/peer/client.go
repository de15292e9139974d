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
	initialBackoff     = 200 * time.Millisecond
	maxBackoff         = 10 * time.Second
)

// DialFunc opens a connection to an address; net.Dialer's DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientConfig configures a Client.
type ClientConfig struct {
	// TLS holds this instance's certificate and the authorities of other instances' certificates; nil
	// means calls without TLS.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// MaxCallsPerPeer bounds the concurrent calls to one instance; zero means 64.
	MaxCallsPerPeer int
	// IdleTimeout is how long an unused connection stays open; zero means one minute.
	IdleTimeout time.Duration
	// Seed makes the jitter of the backoff reproducible.
	Seed uint64
}

// Client calls other instances over one persistent connection each.
type Client struct {
	config ClientConfig

	mu     sync.Mutex
	links  map[string]*link
	rnd    *rand.Rand
	closed bool
}

// NewClient returns a client without connections; it fails if TLS is set without a client
// certificate.
func NewClient(config ClientConfig) (*Client, error) {
	if config.TLS != nil && len(config.TLS.Certificates) == 0 && config.TLS.GetClientCertificate == nil {
		return nil, fmt.Errorf("peer client: TLS without a certificate of its own")
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: defaultDialTimeout}).DialContext
	}
	config.MaxCallsPerPeer = orDefault(config.MaxCallsPerPeer, defaultMaxCalls)
	config.IdleTimeout = orDefault(config.IdleTimeout, defaultIdleTimeout)
	return &Client{
		config: config,
		links:  make(map[string]*link),
		rnd:    rand.New(rand.NewPCG(config.Seed, 0)),
	}, nil
}

// Call implements Caller; it dials the instance if there is no open connection to it.
func (c *Client) Call(ctx context.Context, to value.Instance, method string, args, reply any) error {
	l, err := c.linkTo(to.PeerAddress)
	if err != nil {
		return err
	}
	return l.call(ctx, method, args, reply)
}

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, l := range c.links {
		if l.isOpen() {
			count++
		}
	}
	return count
}

// Close closes all connections; calls in progress fail, and later calls return ErrUnreachable.
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

// linkTo returns the link for the address. Before it adds a new one, it removes all unused links.
func (c *Client) linkTo(address string) (*link, error) {
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
	maps.DeleteFunc(c.links, func(_ string, l *link) bool { return l.isUnused(now) })
	l = &link{
		client:   c,
		address:  address,
		slots:    make(chan struct{}, c.config.MaxCallsPerPeer),
		dialLock: make(chan struct{}, 1),
		backoff:  policy.Backoff{InitialDelay: initialBackoff, MaxDelay: maxBackoff},
		nextDial: now,
	}
	c.links[address] = l
	return l, nil
}

// removeLink removes a link, unless another one has replaced it.
func (c *Client) removeLink(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

// backoffDelay returns the backoff's next delay with jitter.
func (c *Client) backoffDelay(b policy.Backoff) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return b.Delay(c.rnd)
}

// dial opens a connection, including the TLS handshake.
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
	tlsConn := tls.Client(conn, c.tlsConfigFor(address))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("shake hands with %s: %w", address, err)
	}
	return tlsConn, nil
}

// tlsConfigFor returns the TLS configuration that expects the address's host in the server's
// certificate, unless the configuration names the server itself.
func (c *Client) tlsConfigFor(address string) *tls.Config {
	if c.config.TLS.ServerName != "" {
		return c.config.TLS
	}
	config := c.config.TLS.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = host
	}
	return config
}
