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

	"golang.org/x/sync/singleflight"

	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/conns"
	"endivehitch/io/strict"
)

const (
	chatPath       = "/v1/chat/completions"
	jsonType       = "application/json"
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	headerKey      = "Idempotency-Key"
	// maxErrorDetailBytes bounds how much of a failed answer's body goes into its StatusError.
	maxErrorDetailBytes = 1 << 10
	// errorDetailTime bounds the wait for that body, since the status alone decides on a retry.
	errorDetailTime = 100 * time.Millisecond
	idleTimeout     = 90 * time.Second
)

// wholeBodies bounds the memory of answers and reports that are read whole before they are used.
var wholeBodies = policy.BufferConfig{OwnBytes: 256 << 10, MaxBytes: 4 << 20, SharedBytes: 32 << 20}

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
//
// A connection serves several calls only where the server's answers carry the request's identifier:
// otherwise a second copy of an answer, which arrives late, could not be told from the answer to the next
// call.
type HTTP struct {
	pooled *http.Client
	// unpooled opens a connection for each call. It is also used for calls that must not be sent twice:
	// on an idle connection that the server has just closed, the transport would send them again by
	// itself.
	unpooled *http.Client
	// echoes tells of each server whether its latest answer carried the request's identifier.
	echoes policy.Cells[value.ServerID, bool]
	// bodies bounds the answers and reports that are read whole.
	bodies     *policy.BufferBudget
	dialer     *net.Dialer
	goneChecks singleflight.Group
}

// NewHTTP returns an adapter, or an error that names what the configuration lacks.
func NewHTTP(c HTTPConfig) (*HTTP, error) {
	if c.DialTimeout <= 0 {
		return nil, errors.New("engine: dial timeout must be positive")
	}
	if c.IdleConnections <= 0 {
		return nil, errors.New("engine: bound on idle connections must be positive")
	}
	bodies, err := policy.NewBufferBudget(wholeBodies)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	pooled, unpooled := newTransport(c, dialer), newTransport(c, dialer)
	unpooled.DisableKeepAlives = true
	return &HTTP{pooled: strict.NewClient(pooled), unpooled: strict.NewClient(unpooled), bodies: bodies, dialer: dialer}, nil
}

func newTransport(c HTTPConfig, dialer *net.Dialer) *http.Transport {
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: c.IdleConnections,
		IdleConnTimeout:     idleTimeout,
		TLSClientConfig:     c.TLS,
		DisableCompression:  true,

		MaxResponseHeaderBytes: strict.MaxHeadBytes,
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
	client := h.clientFor(b, c)
	resp, err := client.Do(req)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("call backend server %s: %w", b.ID, markNotSent(err))
	}
	h.echoes.Cell(b.ID).Update(func(bool) bool { return resp.Header.Get(headerRequest) != "" })
	if err := checkEcho(resp, c, client == h.pooled); err != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, fmt.Errorf("answer of backend server %s: %w", b.ID, err)
	}
	if err := checkStatus(resp, c); err != nil {
		cancel()
		return nil, fmt.Errorf("answer of backend server %s: %w", b.ID, err)
	}
	if c.Stream && c.Version != "" {
		return newStreamAnswer(resp, cancel), nil
	}
	return &bodyAnswer{
		resp: resp, cancel: cancel, hasUsage: c.Version != "", account: h.bodies.Open(),
		isServerGone: func(ctx context.Context) bool { return h.isGone(ctx, b, req.URL.Host) },
	}, nil
}

// isGone reports whether the server refuses a connection to the address or closes it at once. Answers that end together share
// one check.
func (h *HTTP) isGone(ctx context.Context, b value.BackendServer, address string) bool {
	gone, _, _ := h.goneChecks.Do(string(b.ID), func() (any, error) {
		conn, err := conns.Probe(context.WithoutCancel(ctx), func(ctx context.Context) (net.Conn, error) {
			return h.dialer.DialContext(ctx, "tcp", address)
		})
		if err == nil {
			_ = conn.Close()
		}
		return conns.IsGone(err), nil
	})
	isGone, _ := gone.(bool)
	return isGone
}

// clientFor returns the client without idle connections for calls with an idempotency key, and for servers
// that aren't known to echo identifiers.
func (h *HTTP) clientFor(b value.BackendServer, c Call) *http.Client {
	if c.Key != "" || !h.echoes.Get(b.ID) {
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

// checkEcho returns an error unless the answer belongs to the call: by the identifier that it carries or, if
// it carries none, because it is the only answer on its connection. A failure that another server may not
// have passes without an identifier: it says nothing about the call that a lost answer doesn't.
func checkEcho(resp *http.Response, c Call, reusable bool) error {
	status := StatusError{Status: resp.StatusCode}
	echo, isSingle := strict.Value(resp.Header, headerRequest)
	switch {
	case !isSingle:
		return fmt.Errorf("%w: several identifiers", ErrMismatch)
	case echo == string(c.Request):
		return nil
	case echo == "" && (!reusable || (status.Status >= http.StatusBadRequest && !status.Permanent())):
		return nil
	}
	return fmt.Errorf("%w: identifier %q", ErrMismatch, echo)
}

// checkStatus returns an error, and closes the body, if the status means failure. An engine's status means
// failure from 300 on, a plain service's only from 500 on, since any other status is part of its answer to
// the caller.
func checkStatus(resp *http.Response, c Call) error {
	minFailure := http.StatusInternalServerError
	if c.Version != "" {
		minFailure = http.StatusMultipleChoices
	}
	if resp.StatusCode >= minFailure {
		return readStatusError(resp)
	}
	return nil
}

// readStatusError closes the response and returns its status and the start of its body, as far as it arrives within
// errorDetailTime, as an error.
func readStatusError(resp *http.Response) error {
	defer resp.Body.Close()
	timer := time.AfterFunc(errorDetailTime, func() { _ = resp.Body.Close() })
	defer timer.Stop()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorDetailBytes))
	if err != nil {
		detail = []byte(err.Error())
	}
	return StatusError{Status: resp.StatusCode, Detail: string(detail)}
}
