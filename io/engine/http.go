package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"endivehitch/core/value"
)

const (
	chatPath       = "/v1/chat/completions"
	jsonType       = "application/json"
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	headerKey      = "Idempotency-Key"
	// maxErrorDetailBytes bounds how much of a failed answer's body goes into its StatusError.
	maxErrorDetailBytes = 1 << 10
	idleTimeout         = 90 * time.Second
)

// HTTPConfig configures an HTTP adapter.
type HTTPConfig struct {
	// DialTimeout bounds the time to connect to a backend server.
	DialTimeout time.Duration
	// IdleConnections bounds the idle connections kept open to one backend server.
	IdleConnections int
	// TLS, if set, is used for https addresses.
	TLS *tls.Config
}

// HTTP implements Runner, Reporter, Commander and CacheMover. A call with a version goes to an engine in
// the chat-completions format, and one without a version to a plain HTTP service.
type HTTP struct {
	pooled *http.Client
	// unpooled opens a connection for each call. It is used for calls that must not be sent twice: on
	// an idle connection that the server has just closed, the transport would send them again by
	// itself.
	unpooled *http.Client
}

// NewHTTP returns an adapter, or an error that names what the configuration lacks.
func NewHTTP(c HTTPConfig) (*HTTP, error) {
	if c.DialTimeout <= 0 {
		return nil, errors.New("engine: dial timeout must be positive")
	}
	if c.IdleConnections <= 0 {
		return nil, errors.New("engine: bound on idle connections must be positive")
	}
	pooled, unpooled := newTransport(c), newTransport(c)
	unpooled.DisableKeepAlives = true
	return &HTTP{pooled: newClient(pooled), unpooled: newClient(unpooled)}, nil
}

func newTransport(c HTTPConfig) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: c.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: c.IdleConnections,
		IdleConnTimeout:     idleTimeout,
		TLSClientConfig:     c.TLS,
		DisableCompression:  true,
	}
}

// newClient returns a client that follows no redirects, because following one would send the call
// twice.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Start sends the call and returns once the answer's status and headers have been received.
func (h *HTTP) Start(ctx context.Context, b value.BackendServer, c Call) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := newRequest(ctx, b, c)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: build request: %w", ErrNotSent, err)
	}
	resp, err := h.clientFor(c).Do(req)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("call backend server %s: %w", b.ID, markNotSent(err))
	}
	if err := checkHead(resp, c); err != nil {
		cancel()
		return nil, fmt.Errorf("answer of backend server %s: %w", b.ID, err)
	}
	if c.Stream && c.Version != "" {
		return newStreamAnswer(resp, cancel), nil
	}
	return newBodyAnswer(resp, cancel, c.Version != ""), nil
}

// clientFor returns the client without idle connections for calls with an idempotency key.
func (h *HTTP) clientFor(c Call) *http.Client {
	if c.Key != "" {
		return h.unpooled
	}
	return h.pooled
}

func newRequest(ctx context.Context, b value.BackendServer, c Call) (*http.Request, error) {
	method, path, body := c.Method, c.Path, c.Body
	if c.Version != "" {
		var err error
		method, path = http.MethodPost, chatPath
		if body, err = withModel(c); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, b.Address+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("address %s: %w", b.Address, err)
	}
	// The body is set here so that GetBody stays nil: with it, the transport could read the body again
	// and resend the request by itself.
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", c.ContentType)
	req.Header.Set(headerRequest, string(c.Request))
	req.Header.Set(headerPriority, string(c.Priority))
	if c.Key != "" {
		req.Header.Set(headerKey, string(c.Key))
	}
	return req, nil
}

// withModel returns the call's body with the version as its model. For a streamed answer it also sets
// stream_options, so that the engine reports the token usage at the end of the stream.
func withModel(c Call) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	model, err := json.Marshal(string(c.Version))
	if err != nil {
		return nil, fmt.Errorf("encode model: %w", err)
	}
	fields["model"] = model
	if c.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode call: %w", err)
	}
	return body, nil
}

// markNotSent wraps dial errors in ErrNotSent: without a connection the server received nothing.
func markNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// checkHead returns an error if the status means failure or the answer belongs to another request; it
// then closes the body. An engine's status means failure from 300 on, a plain service's only from 500
// on, since any other status is part of its answer to the caller.
func checkHead(resp *http.Response, c Call) error {
	minFailure := http.StatusInternalServerError
	if c.Version != "" {
		minFailure = http.StatusMultipleChoices
	}
	if resp.StatusCode >= minFailure {
		return readStatusError(resp)
	}
	echoedID := resp.Header.Get(headerRequest)
	if echoedID != "" && echoedID != string(c.Request) {
		_ = resp.Body.Close()
		return fmt.Errorf("%w: %s", ErrMismatch, echoedID)
	}
	return nil
}

// readStatusError closes the response and returns its status and the start of its body as an error.
func readStatusError(resp *http.Response) error {
	defer resp.Body.Close()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorDetailBytes))
	if err != nil {
		detail = []byte(err.Error())
	}
	return StatusError{Status: resp.StatusCode, Detail: string(detail)}
}
