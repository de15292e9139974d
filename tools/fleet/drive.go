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
	retryWait = 250 * time.Millisecond
	// retryTime is how long a caller tries to get one answer.
	retryTime = 90 * time.Second
	keyedIn   = 5
)

// outcome is how a caller's wish ended.
type outcome struct {
	kind string
	key  string
	// answered lists the request that got a whole answer; it is empty where none did.
	answered value.RequestID
	unknown  bool
	tries    int
	took     time.Duration
}

// drive is the callers.
type drive struct {
	fleet *fleet
	work  sync.WaitGroup
	quit  chan struct{}

	mu       sync.Mutex
	outcomes []outcome
	// falseNotRun counts refusals that said NotRun of a key that had taken effect.
	refused map[string]int
}

func newDrive(f *fleet) *drive {
	return &drive{fleet: f, quit: make(chan struct{}), refused: make(map[string]int)}
}

func (d *drive) start(ctx context.Context) {
	for i := range callers {
		d.work.Go(func() { d.call(ctx, i) })
	}
}

func (d *drive) stop() {
	close(d.quit)
	d.work.Wait()
}

func (d *drive) call(ctx context.Context, caller int) {
	rnd := rand.New(rand.NewPCG(1, uint64(caller)))
	for n := 0; ; n++ {
		select {
		case <-d.quit:
			return
		case <-ctx.Done():
			return
		default:
		}
		o := d.wish(ctx, rnd, fmt.Sprintf("%d-%d", caller, n), n%keyedIn == 0)
		d.mu.Lock()
		d.outcomes = append(d.outcomes, o)
		d.mu.Unlock()
	}
}

// wish tries at one instance after the other until there is a whole answer or an honest "unknown".
func (d *drive) wish(ctx context.Context, rnd *rand.Rand, name string, keyed bool) outcome {
	o := outcome{kind: []string{"status-reply", "spelling", "menu-draft"}[rnd.IntN(3)]}
	if keyed {
		o.kind, o.key = "reorder", "order-"+name
	}
	began := time.Now()
	for time.Since(began) < retryTime && ctx.Err() == nil {
		o.tries++
		id, reason := d.try(ctx, rnd.IntN(instances), o, name)
		o.took = time.Since(began)
		if reason == "" {
			o.answered = id
			return o
		}
		d.mu.Lock()
		d.refused[reason]++
		d.mu.Unlock()
		if reason == string(value.ReasonOutcomeUnknown) {
			o.unknown = true
			return o
		}
		clock.Passed(ctx, retryWait)
	}
	return o
}

// try sends one request and returns its identifier, and the reason where it got no whole answer.
func (d *drive) try(ctx context.Context, at int, o outcome, name string) (value.RequestID, string) {
	ctx, cancel := context.WithTimeout(ctx, quickClient.Timeout)
	defer cancel()
	path, body := "/v1/chat/completions", fmt.Sprintf(`{"stream":%t,"messages":[{"role":"user","content":"question %s"}]}`, len(name)%2 == 0, name)
	if o.key != "" {
		path, body = "/v1/services/reorder-desk/orders", o.key
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.fleet.caller(at)+path, strings.NewReader(body))
	if err != nil {
		return "", err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Endivehitch-Kind", o.kind)
	if o.key != "" {
		req.Header.Set("Idempotency-Key", o.key)
	}
	resp, err := quickClient.Do(req)
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
	if o.key == "" && !bytes.Contains(answer, []byte(name)) && !bytes.Contains(answer, []byte(strings.TrimSpace(name))) {
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
