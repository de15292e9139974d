package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/clock"
)

const (
	retryInterval = 250 * time.Millisecond
	// retryTimeout is how long a caller retries one operation.
	retryTimeout = 90 * time.Second
	// keyedInterval means that one in that many operations of a caller has an idempotency key.
	keyedInterval = 5
)

// outcome is how a caller's operation, that is a request with its retries, ended.
type outcome struct {
	kind string
	key  string
	// answeredRequest is the request that got a complete answer; it is empty if none did.
	answeredRequest value.RequestID
	// isUnknown is set if an instance reported that it can't tell whether the request took effect.
	isUnknown bool
	tries     int
	duration  time.Duration
}

// loadGenerator runs the callers and collects the outcomes of their operations.
type loadGenerator struct {
	fleet    *fleet
	running  sync.WaitGroup
	stopping chan struct{}

	mu       sync.Mutex
	outcomes []outcome
	// refused counts the requests without a complete answer, by reason.
	refused map[string]int
}

func newLoadGenerator(f *fleet) *loadGenerator {
	return &loadGenerator{fleet: f, stopping: make(chan struct{}), refused: make(map[string]int)}
}

func (g *loadGenerator) start(ctx context.Context) {
	for i := range callers {
		g.running.Go(func() { g.runCaller(ctx, i) })
	}
}

func (g *loadGenerator) stop() {
	close(g.stopping)
	g.running.Wait()
}

func (g *loadGenerator) runCaller(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(1, uint64(caller)))
	for n := 0; ; n++ {
		select {
		case <-g.stopping:
			return
		case <-ctx.Done():
			return
		default:
		}
		o := g.runOperation(ctx, random, fmt.Sprintf("%d-%d", caller, n), n%keyedInterval == 0)
		g.mu.Lock()
		g.outcomes = append(g.outcomes, o)
		g.mu.Unlock()
	}
}

// runOperation sends the request to random instances until it gets a complete answer, the outcome
// is reported as unknown, or retryTimeout has passed.
func (g *loadGenerator) runOperation(ctx context.Context, random *rand.Rand, name string, hasKey bool) outcome {
	result := outcome{kind: []string{"status-reply", "spelling", "menu-draft"}[random.IntN(3)]}
	if hasKey {
		result.kind, result.key = "reorder", "order-"+name
	}
	start := time.Now()
	for time.Since(start) < retryTimeout && ctx.Err() == nil {
		result.tries++
		id, reason := g.sendOnce(ctx, random.IntN(instances), result, name)
		result.duration = time.Since(start)
		if reason == "" {
			result.answeredRequest = id
			return result
		}
		g.mu.Lock()
		g.refused[reason]++
		g.mu.Unlock()
		if reason == string(value.ReasonOutcomeUnknown) {
			result.isUnknown = true
			return result
		}
		clock.WaitFully(ctx, retryInterval)
	}
	return result
}

// sendOnce sends one request. It returns the request's identifier, or the reason why there was no
// complete answer.
func (g *loadGenerator) sendOnce(ctx context.Context, instanceIndex int, operation outcome, name string) (value.RequestID, string) {
	ctx, cancel := context.WithTimeout(ctx, httpClient.Timeout)
	defer cancel()
	path, body := "/v1/chat/completions", fmt.Sprintf(`{"stream":%t,"messages":[{"role":"user","content":"question %s"}]}`, len(name)%2 == 0, name)
	if operation.key != "" {
		path, body = "/v1/services/reorder-desk/orders", operation.key
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.fleet.callerURL(instanceIndex)+path, strings.NewReader(body))
	if err != nil {
		return "", err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Endivehitch-Kind", operation.kind)
	if operation.key != "" {
		req.Header.Set("Idempotency-Key", operation.key)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return "", "NoConnection"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", "CutOff"
	}
	if resp.StatusCode != http.StatusOK {
		return "", reasonOf(answer)
	}
	if operation.key == "" && !bytes.Contains(answer, []byte(name)) && !bytes.Contains(answer, []byte(strings.TrimSpace(name))) {
		return "", "AnotherAnswer"
	}
	return value.RequestID(resp.Header.Get("X-Request-Id")), ""
}

func reasonOf(problem []byte) string {
	var p struct{ Reason string }
	if err := json.Unmarshal(problem, &p); err != nil || p.Reason == "" {
		return "Unreadable"
	}
	return p.Reason
}
