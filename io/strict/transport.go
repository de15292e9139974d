package strict

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper that checks the heads of answers, the interim ones included, before net/http parses them, and
// their trailers.
type Transport struct {
	base *http.Transport
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a Transport with the settings of base, which must not be used by itself any more. It speaks HTTP/1 only,
// and uses no proxy.
func NewTransport(base *http.Transport) *Transport {
	dial := DialFunc(base.DialContext)
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	dial = Dial(dial)
	base.Proxy = nil
	base.DialContext = dialChecked(dial)
	base.DialTLSContext = dialChecked(dialTLS(dial, base.TLSClientConfig))
	return &Transport{base: base}
}

// NewClient returns a client that uses a Transport with the settings of base and returns redirects as they are: what another
// address answers isn't the answer of the server that was asked, and would send the request twice.
func NewClient(base *http.Transport) *http.Client {
	return &http.Client{
		Transport:     NewTransport(base),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip sends the request and returns the answer once its head is read.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*checkedConn); ok {
			c.expectsHead.Store(true)
		}
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	resp.Body = Body(resp)
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

func dialChecked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
	}
}

// dialTLS returns a function that opens a connection and completes its TLS handshake; the transport's own would read the
// server's messages through a checkedConn.
func dialTLS(dial DialFunc, config *tls.Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		own := config.Clone()
		if own == nil {
			own = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		if host, _, err := net.SplitHostPort(address); err == nil && own.ServerName == "" {
			own.ServerName = host
		}
		c := tls.Client(raw, own)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
		}
		return c, nil
	}
}

// checkedConn is a connection from which an http.Transport reads the head of an answer only once it is checked.
type checkedConn struct {
	net.Conn
	reader *bufio.Reader
	// expectsHead is set when the connection is taken for a request: what the server sends next is the head of an answer.
	expectsHead atomic.Bool
	// unreadHead is how many bytes of a checked head have not been read, and isInterim whether another head follows it.
	unreadHead int
	isInterim  bool
	// err ends the connection.
	err error
}

// Read reads what the server has sent, but not beyond the end of a head. An answer whose head is malformed fails after its first
// byte: the transport sends a request once more by itself if its connection ends before an answer has begun.
func (c *checkedConn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	if c.unreadHead == 0 {
		if _, err := c.reader.Peek(1); err != nil {
			return 0, err
		}
		if c.expectsHead.Swap(false) || c.isInterim {
			c.checkHead()
		}
	}
	if c.unreadHead == 0 {
		return c.reader.Read(b)
	}
	n, err := c.reader.Read(b[:min(len(b), c.unreadHead)])
	c.unreadHead -= n
	return n, err
}

// checkHead checks the head of the next answer, of which one byte has arrived.
func (c *checkedConn) checkHead() {
	var head Head
	c.reader, head, c.err = PeekHead(c.reader, c.Conn)
	c.unreadHead, c.isInterim = head.Length, head.IsInterim()
	if c.err != nil {
		c.unreadHead = 1
	}
}
