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

// Client reaches the operators' face of one instance.
type Client struct {
	// Base is the face's address, such as https://10.0.0.1:7701.
	Base string
	// Key is the operator's own key.
	Key  string
	HTTP *http.Client
}

// errNoAnswer marks a call that was sent and not answered.
var errNoAnswer = errors.New("no answer")

// Call calls a route and returns its answer; its error has the type that the route's function gave it.
//
// A call that certainly did not reach the instance fails with value.ChangeUnavailable.
func Call[In, Out any](ctx context.Context, c Client, method, path string, in In) (Out, error) {
	var out Out
	req, err := request(ctx, c, method, path, in)
	if err != nil {
		return out, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return out, unsent(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerBytes))
	if err != nil {
		return out, fmt.Errorf("read answer: %w: %w", errNoAnswer, err)
	}
	return answer[Out](resp, body)
}

// answerBytes bounds what is read of an answer.
const answerBytes = 64 << 20

func request(ctx context.Context, c Client, method, path string, in any) (*http.Request, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	target := strings.TrimSuffix(c.Base, "/") + path
	if method == http.MethodGet {
		query, err := queryOf(data)
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

func queryOf(data []byte) (string, error) {
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

func answer[Out any](resp *http.Response, body []byte) (Out, error) {
	var out Out
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, &out); err != nil {
			return out, fmt.Errorf("decode answer: %w: %w", errNoAnswer, err)
		}
		return out, nil
	}
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	var p wireProblem
	if kind != problemType || json.Unmarshal(body, &p) != nil {
		return out, fmt.Errorf("instance answered %s: %w", resp.Status, errNoAnswer)
	}
	return out, errorOf(p)
}

// unsent tells a call that was not sent from one that was sent and not answered.
func unsent(err error) error {
	var dial *net.OpError
	var untrusted *tls.CertificateVerificationError
	if errors.As(err, &dial) && dial.Op == "dial" || errors.As(err, &untrusted) {
		return value.ChangeUnavailable{Detail: err.Error()}
	}
	return fmt.Errorf("call instance: %w: %w", errNoAnswer, err)
}

// Lost gives a change whose call was not answered the error that its outcome is unknown.
func Lost(err error, change value.ChangeID) error {
	if errors.Is(err, errNoAnswer) {
		return value.ChangeUnknown{Change: change, Detail: err.Error()}
	}
	return err
}

// Ask is Call for a question; one that got no answer fails with value.ChangeUnavailable.
func Ask[In, Out any](ctx context.Context, c Client, method, path string, in In) (Out, error) {
	out, err := Call[In, Out](ctx, c, method, path, in)
	if errors.Is(err, errNoAnswer) {
		return out, value.ChangeUnavailable{Detail: err.Error()}
	}
	return out, err
}
