package route

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"net/url"
	"strings"

	"endivehitch/core/value"
)

// Client calls the operators' API of one instance.
type Client struct {
	// Base is the API's base URL, such as https://10.0.0.1:7701.
	Base string
	// Key is the operator's key.
	Key  string
	HTTP *http.Client
}

// errNoAnswer marks a call that may have reached the instance but got no usable answer.
var errNoAnswer = errors.New("no answer")

// Call calls a route and returns its result, or an error of the type that the route's function
// returned.
//
// The error is value.ChangeUnavailable if the request certainly did not reach the instance.
func Call[In, Out any](ctx context.Context, c Client, method, path string, in In) (Out, error) {
	var out Out
	req, err := newRequest(ctx, c, method, path, in)
	if err != nil {
		return out, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return out, toSendError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return out, fmt.Errorf("read answer: %w: %w", errNoAnswer, err)
	}
	return decodeAnswer[Out](resp, body)
}

// maxAnswerBytes is the most that is read of an answer.
const maxAnswerBytes = 64 << 20

func newRequest(ctx context.Context, c Client, method, path string, in any) (*http.Request, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	target := strings.TrimSuffix(c.Base, "/") + path
	if method == http.MethodGet {
		query, err := encodeQuery(data)
		if err != nil {
			return nil, err
		}
		target, data = target+query, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key)
	return req, nil
}

func encodeQuery(data []byte) (string, error) {
	var fields map[string]string
	if err := json.Unmarshal(data, &fields); err != nil {
		return "", fmt.Errorf("encode query: %w", err)
	}
	values := make(url.Values, len(fields))
	for name, text := range fields {
		values.Set(name, text)
	}
	return "?" + values.Encode(), nil
}

func decodeAnswer[Out any](resp *http.Response, body []byte) (Out, error) {
	var out Out
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, &out); err != nil {
			return out, fmt.Errorf("decode answer: %w: %w", errNoAnswer, err)
		}
		return out, nil
	}
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	var problem wireProblem
	if mediaType != problemType || json.Unmarshal(body, &problem) != nil {
		return out, fmt.Errorf("instance answered %s: %w", resp.Status, errNoAnswer)
	}
	return out, toError(problem)
}

// toSendError returns value.ChangeUnavailable if the connection failed before the request was sent;
// after that the instance may have received it, and the error is errNoAnswer.
func toSendError(err error) error {
	var dial *net.OpError
	var untrusted *tls.CertificateVerificationError
	if errors.As(err, &dial) && dial.Op == "dial" || errors.As(err, &untrusted) {
		return value.ChangeUnavailable{Detail: err.Error()}
	}
	return fmt.Errorf("call instance: %w: %w", errNoAnswer, err)
}

// UnknownIfUnanswered turns the error of a call without an answer into value.ChangeUnknown, since
// the change may have taken effect; it returns other errors as they are.
func UnknownIfUnanswered(err error, change value.ChangeID) error {
	if errors.Is(err, errNoAnswer) {
		return value.ChangeUnknown{Change: change, Detail: err.Error()}
	}
	return err
}

// Query is Call for a route that changes nothing: a call without an answer fails with
// value.ChangeUnavailable.
func Query[In, Out any](ctx context.Context, c Client, method, path string, in In) (Out, error) {
	out, err := Call[In, Out](ctx, c, method, path, in)
	if errors.Is(err, errNoAnswer) {
		return out, value.ChangeUnavailable{Detail: err.Error()}
	}
	return out, err
}
