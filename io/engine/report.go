package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"endivehitch/core/value"
)

const (
	modelsPath  = "/v1/models"
	metricsPath = "/metrics"
	// The gauges in which vLLM engines report their load.
	runningGauge = "vllm:num_requests_running"
	waitingGauge = "vllm:num_requests_waiting"
)

// errNoReport is returned for the report of a server that lacks what it is read for.
var errNoReport = errors.New("answer is no report")

// Load reads the server's gauges of running and waiting requests and adds them up over their labels. It fails without one of
// them: a server whose load isn't known must not pass for one without load.
func (h *HTTP) Load(ctx context.Context, b value.BackendServer) (LoadReport, error) {
	body, err := h.get(ctx, b, metricsPath)
	if err != nil {
		return LoadReport{}, fmt.Errorf("read load of %s: %w", b.ID, err)
	}
	r := LoadReport{Server: b.ID, At: time.Now()}
	hasRunning, hasWaiting := false, false
	for line := range strings.Lines(string(body)) {
		name, n, ok := parseGauge(strings.TrimRight(line, "\r\n"))
		if !ok {
			continue
		}
		switch name {
		case runningGauge:
			r.Running += n
			hasRunning = true
		case waitingGauge:
			r.Queued += n
			hasWaiting = true
		}
	}
	if !hasRunning || !hasWaiting {
		return LoadReport{}, fmt.Errorf("read load of %s: %w", b.ID, errNoReport)
	}
	return r, nil
}

// parseGauge parses a line of the Prometheus text format into a name without labels and a value,
// truncated to an integer; it returns false for comments and for lines that don't end with a number.
func parseGauge(line string) (string, int, bool) {
	if strings.HasPrefix(line, "#") {
		return "", 0, false
	}
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.ParseFloat(line[i+1:], 64)
	if err != nil {
		return "", 0, false
	}
	name, _, _ := strings.Cut(line[:i], "{")
	return name, int(n), true
}

// CacheEvents fails with ErrUnsupported: the chat-completions format has no cache events.
func (h *HTTP) CacheEvents(context.Context, value.BackendServer, int64) ([]CacheEvent, error) {
	return nil, fmt.Errorf("cache events: %w", ErrUnsupported)
}

// LoadedVersions reads the server's list of models and returns their identifiers, which are version
// keys.
func (h *HTTP) LoadedVersions(ctx context.Context, b value.BackendServer) ([]value.VersionKey, error) {
	body, err := h.get(ctx, b, modelsPath)
	if err != nil {
		return nil, fmt.Errorf("read versions of %s: %w", b.ID, err)
	}
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("decode versions of %s: %w", b.ID, err)
	}
	if list.Data == nil {
		return nil, fmt.Errorf("read versions of %s: %w", b.ID, errNoReport)
	}
	keys := make([]value.VersionKey, 0, len(list.Data))
	for _, m := range list.Data {
		keys = append(keys, value.VersionKey(m.ID))
	}
	return keys, nil
}

// get returns the body of a successful GET request to the server.
func (h *HTTP) get(ctx context.Context, b value.BackendServer, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.Address+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("build GET request to address %s: %w", b.Address, err)
	}
	resp, err := h.unpooled.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, readStatusError(resp)
	}
	defer resp.Body.Close()
	account := h.bodies.Open()
	defer account.Close()
	body, err := io.ReadAll(countedReader{source: resp.Body, account: account})
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	return body, nil
}
