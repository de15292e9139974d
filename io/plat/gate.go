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

// answerLimit bounds an answer of the gateway, in bytes; base64 and a listing of several values need room.
const answerLimit = 64 << 20

// The gRPC status codes that the gateway puts into its errors and that the adapter tells apart.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// gateway posts JSON to the paths of an etcd v3 gateway.
type gateway struct {
	base   string
	client *http.Client
}

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

// post returns the open body of a good answer; its error tells whether the call may have taken effect.
func (g gateway) post(ctx context.Context, path string, question any) (io.ReadCloser, error) {
	body, err := json.Marshal(question)
	if err != nil {
		return nil, fmt.Errorf("encode question: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build question: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if err := ended(ctx); err != nil {
		return nil, err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", reached(err), err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer resp.Body.Close()
	return nil, refusal(resp)
}

// ask posts the question and decodes the whole answer.
func ask[T any](ctx context.Context, g gateway, path string, question any) (T, error) {
	var answer T
	body, err := g.post(ctx, path, question)
	if err != nil {
		return answer, err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, answerLimit)).Decode(&answer); err != nil {
		return answer, fmt.Errorf("%w: decode answer: %w", ErrUnknown, err)
	}
	return answer, nil
}

// reached tells a connection that was never made from one that broke under the call.
func reached(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknown
}

// refusal reads an error answer; a server error leaves open whether the call took effect.
func refusal(resp *http.Response) error {
	failed := gatewayError{Status: resp.StatusCode}
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err == nil {
		err = json.Unmarshal(data, &failed)
	}
	if err != nil {
		failed.Text = "undecodable error"
	}
	switch {
	case failed.Code == codeNotFound:
		return fmt.Errorf("%w: %w", ErrLeaseLost, failed)
	case failed.Code == codeResourceExhausted, resp.StatusCode == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrUnavailable, failed)
	case resp.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %w", ErrUnknown, failed)
	}
	return failed
}

// forRead turns an unknown outcome into plain absence: a read has no effect to doubt.
func forRead(err error) error {
	if errors.Is(err, ErrUnknown) {
		return unread{err}
	}
	return err
}

// unread is a failed read.
type unread struct {
	cause error
}

// Error states the cause.
func (u unread) Error() string {
	return fmt.Sprintf("%v: %v", ErrUnavailable, u.cause)
}

// Is reports whether the target is ErrUnavailable.
func (u unread) Is(target error) bool {
	return target == ErrUnavailable
}
