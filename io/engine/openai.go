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
	// errorDetailBytes bounds how much of a failed answer's body is kept.
	errorDetailBytes = 1 << 10
	idleTimeout      = 90 * time.Second
)

// HTTPConfig sets up an HTTP adapter.
type HTTPConfig struct {
	// DialTimeout bounds the time to connect to a backend server.
	DialTimeout time.Duration
	// IdleConnections bounds the kept connections to one backend server.
	IdleConnections int
	// TLS, if set, is used towards https addresses.
	TLS *tls.Config
}

// HTTP speaks the chat-completions format to engines and plain HTTP to services.
type HTTP struct {
	client *http.Client
	// fresh keeps no connections: a call that must not be sent twice never meets
	// one that the server has just closed.
	fresh *http.Client
}

// NewHTTP returns an adapter, or an error that names what the configuration lacks.
func NewHTTP(c HTTPConfig) (*HTTP, error) {
	if c.DialTimeout <= 0 {
		return nil, errors.New("engine: dial timeout must be positive")
	}
	if c.IdleConnections <= 0 {
		return nil, errors.New("engine: bound on idle connections must be positive")
	}
	kept, fresh := newTransport(c), newTransport(c)
	fresh.DisableKeepAlives = true
	return &HTTP{client: newClient(kept), fresh: newClient(fresh)}, nil
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

// newClient hands redirects to the caller: following one would send a call twice.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Start sends the call and returns once the answer's head has arrived.
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
		return nil, fmt.Errorf("call backend server %s: %w", b.ID, notSent(err))
	}
	if err := checkHead(resp, c); err != nil {
		cancel()
		return nil, fmt.Errorf("answer of backend server %s: %w", b.ID, err)
	}
	if c.Stream && c.Version != "" {
		return newStreamed(resp, cancel), nil
	}
	return newWhole(resp, cancel, c.Version != ""), nil
}

func (h *HTTP) clientFor(c Call) *http.Client {
	if c.Key != "" {
		return h.fresh
	}
	return h.client
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
	// A body that can't be read again keeps the transport from sending the request a second time by itself.
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

// withModel names the chosen version as the engine's model and asks for the usage of streamed answers.
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

// notSent marks errors of the dial, after which the server can't have received anything.
func notSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// checkHead refuses answers that are failures or not the call's own; the status of a plain service below 500 is its answer.
func checkHead(resp *http.Response, c Call) error {
	least := http.StatusInternalServerError
	if c.Version != "" {
		least = http.StatusMultipleChoices
	}
	if resp.StatusCode >= least {
		return badStatus(resp)
	}
	echoed := resp.Header.Get(headerRequest)
	if echoed != "" && echoed != string(c.Request) {
		_ = resp.Body.Close()
		return fmt.Errorf("%w: %s", ErrMismatch, echoed)
	}
	return nil
}

func badStatus(resp *http.Response) error {
	defer resp.Body.Close()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, errorDetailBytes))
	if err != nil {
		detail = []byte(err.Error())
	}
	return BadStatus{Status: resp.StatusCode, Detail: string(detail)}
}
