package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// caller sends requests to one instance as a client of the platform does.
type caller struct {
	edge   *edge
	client *http.Client
}

func newCaller(e *edge) *caller {
	return &caller{edge: e, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// call is one request of a client.
type call struct {
	id       string
	method   string
	path     string
	body     string
	deadline time.Duration
	header   map[string]string
}

// result is what the client has seen of the answer; isWhole is set if the answer was complete.
type result struct {
	status  int
	header  http.Header
	body    string
	isWhole bool
	err     error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *caller) send(call call) result {
	ctx, cancel := context.WithTimeout(context.Background(), call.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+c.edge.front+call.path, strings.NewReader(call.body))
	if err != nil {
		return result{err: err}
	}
	req.Host = host
	req.Header.Set(words.AttemptID, call.id)
	req.Header.Set(words.Deadline, strconv.FormatInt(call.deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	for name, value := range call.header {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(body), isWhole: err == nil, err: err}
}
