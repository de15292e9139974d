package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// maxResponseBytes is the size of the largest response that is read from the gateway. It is far
// above ValueLimit because values are in base64 and a listing holds several of them.
const maxResponseBytes = 64 << 20

// The gRPC status codes that decodeRefusal looks for in the gateway's errors.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// gateway is the HTTP client of an etcd v3 JSON gateway.
type gateway struct {
	base   string
	client *http.Client
}

// gatewayError is the body of an error response, with its HTTP status.
type gatewayError struct {
	Status  int    `json:"-"`
	Code    int    `json:"code"`
	Message string `json:"message"`
	Text    string `json:"error"`
}

// Error states the HTTP status, the gRPC code and the text.
func (g gatewayError) Error() string {
	return fmt.Sprintf("gateway answered %d, code %d: %s", g.Status, g.Code, g.Text)
}

// post sends a request and returns the body of a response with status 200, which the caller closes.
//
// The error wraps ErrUnknown if the call may have taken effect.
func (g gateway) post(ctx context.Context, path string, request any) (io.ReadCloser, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode question: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build question: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if err := contextError(ctx); err != nil {
		return nil, err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", classifyTransportError(err), err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer resp.Body.Close()
	return nil, decodeRefusal(resp)
}

// call posts the request and decodes the response, which must come whole.
func call[T answer](ctx context.Context, g gateway, path string, request any) (T, error) {
	var response T
	body, err := g.post(ctx, path, request)
	if err != nil {
		return response, err
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return response, fmt.Errorf("%w: read answer: %w", ErrUnknown, err)
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return response, fmt.Errorf("%w: decode answer: %w", ErrUnknown, err)
	}
	if !response.isComplete() {
		return response, fmt.Errorf("%w: answer lacks a field of its call", ErrUnknown)
	}
	return response, nil
}

// classifyTransportError returns ErrUnavailable if no connection was made, and ErrUnknown if it
// failed during the call.
func classifyTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknown
}

// decodeRefusal returns the error for a response with an error status. "Not found" means that the
// lease does not exist; "resource exhausted" and status 429 mean that the call was rejected; any
// other server error (5xx) leaves open whether the call took effect.
func decodeRefusal(resp *http.Response) error {
	refused := gatewayError{Status: resp.StatusCode}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil {
		err = json.Unmarshal(data, &refused)
	}
	if err != nil {
		refused.Text = "undecodable error"
	}
	switch {
	case refused.Code == codeNotFound:
		return fmt.Errorf("%w: %w", ErrLeaseLost, refused)
	case refused.Code == codeResourceExhausted, resp.StatusCode == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrUnavailable, refused)
	case resp.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %w", ErrUnknown, refused)
	}
	return refused
}

// asReadError turns ErrUnknown into ErrUnavailable, since a read has no effect that could be in
// doubt.
func asReadError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return readError{err}
	}
	return err
}

// readError is the error of a read that failed with ErrUnknown. It does not wrap its cause, so that
// errors.Is finds ErrUnavailable only.
type readError struct {
	cause error
}

// Error states the cause.
func (e readError) Error() string {
	return fmt.Sprintf("%v: %v", ErrUnavailable, e.cause)
}

// Is reports whether the target is ErrUnavailable.
func (e readError) Is(target error) bool {
	return target == ErrUnavailable
}
