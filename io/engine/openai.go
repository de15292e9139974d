package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

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
)

// HTTPConfig sets up an HTTP runner.
type HTTPConfig struct {
	Client *http.Client
}

// HTTP speaks the chat-completions format to engines and plain HTTP to services.
type HTTP struct {
	client *http.Client
}

// NewHTTP returns a runner over the client.
func NewHTTP(c HTTPConfig) (*HTTP, error) {
	if c.Client == nil {
		return nil, errors.New("engine: no HTTP client")
	}
	return &HTTP{client: c.Client}, nil
}

// Start sends the call and returns once the answer's head has arrived.
func (h *HTTP) Start(ctx context.Context, b value.BackendServer, c Call) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := newRequest(ctx, b, c)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: build request: %w", ErrNotSent, err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("call backend server %s: %w", b.ID, notSent(err))
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		defer cancel()
		return nil, badStatus(resp)
	}
	if c.Stream && c.Version != "" {
		return newStreamed(resp, cancel), nil
	}
	return newWhole(resp, cancel, c.Version != ""), nil
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
	req, err := http.NewRequestWithContext(ctx, method, b.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("address %s: %w", b.Address, err)
	}
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

func badStatus(resp *http.Response) error {
	defer resp.Body.Close()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, errorDetailBytes))
	if err != nil {
		detail = []byte(err.Error())
	}
	return BadStatus{Status: resp.StatusCode, Detail: string(detail)}
}
