package front_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
	"endivehitch/io/front"
)

// fakeServer answers every job as version m/v1 and records the jobs.
type fakeServer struct {
	jobs []flow.Job
	// release, if set, holds each job until it is closed; held receives a value for each held job.
	release chan struct{}
	held    chan struct{}
	fail    error
}

func (s *fakeServer) Serve(_ context.Context, j flow.Job, writer flow.ResponseWriter) (flow.Result, error) {
	s.jobs = append(s.jobs, j)
	if s.release != nil {
		s.held <- struct{}{}
		<-s.release
	}
	if s.fail != nil {
		return flow.Result{}, s.fail
	}
	if err := writer.WriteHead(engine.Head{Status: http.StatusOK, ContentType: "application/json"}, "m/v1"); err != nil {
		return flow.Result{}, err
	}
	if err := writer.Write(engine.Piece{Data: []byte(`{}`)}); err != nil {
		return flow.Result{}, err
	}
	return flow.Result{}, writer.End(engine.Usage{})
}

func startFront(t *testing.T, s front.JobServer, limits front.Limits) string {
	t.Helper()
	return startFrontWith(t, s, limits, false)
}

// startFrontWith serves a Front and returns its base URL; with billingDown, CanStoreBills reports
// false.
func startFrontWith(t *testing.T, s front.JobServer, limits front.Limits, billingDown bool) string {
	t.Helper()
	signer, err := front.NewSigner(signingKey(1))
	assert.NilError(t, err)
	sum := sha256.Sum256([]byte("secret"))
	snapshot := state.New(value.Instance{ID: "i-1"}).WithConfig(value.AcceptedDocument{Revision: 1, Document: value.Document{
		Kinds: []value.Kind{{Name: "spelling", Model: "m", Deadline: time.Minute, MaxTokens: 50}},
	}})
	f, err := front.New(front.Config{
		JobServer:     s,
		Snapshot:      func() state.State { return snapshot },
		CanStoreBills: func() bool { return !billingDown },
		Keys:          map[string]value.AccountName{hex.EncodeToString(sum[:]): "ward-12"},
		Signer:        signer,
		Now:           time.Now,
		Limits:        limits,
	})
	assert.NilError(t, err)
	api := httptest.NewServer(f.Handler())
	t.Cleanup(api.Close)
	return api.URL
}

func testLimits() front.Limits {
	return front.Limits{BodyBytes: 1 << 10, ReadTimeout: time.Minute, WriteTimeout: time.Minute, InFlight: 4}
}

func post(t *testing.T, base, body string, headers map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Endivehitch-Kind", "spelling")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(answer)
}

const helloBody = `{"messages":[{"role":"user","content":"hello"}],"max_tokens":900}`

func TestSessionTokenPinsVersionOfNextRequest(t *testing.T) {
	s := &fakeServer{}
	base := startFront(t, s, testLimits())
	resp, _ := post(t, base, helloBody, nil)
	token := resp.Header.Get("Endivehitch-Session")
	assert.Assert(t, token != "")
	post(t, base, helloBody, map[string]string{"Endivehitch-Session": token})
	assert.Equal(t, s.jobs[0].Request.Pinned, value.VersionKey(""))
	assert.Equal(t, s.jobs[1].Request.Pinned, value.VersionKey("m/v1"))
	assert.Equal(t, s.jobs[1].Request.Session, s.jobs[0].Request.Session)
	assert.Equal(t, s.jobs[0].Request.MaxTokens, 50, "max_tokens must be capped by the kind")
}

func TestInvalidRequestReturnsProblemWithoutRunning(t *testing.T) {
	s := &fakeServer{}
	base := startFront(t, s, testLimits())
	cases := []struct {
		name, body string
		headers    map[string]string
		status     int
		reason     string
	}{
		{"body is not JSON", `{`, nil, 400, "BadRequest"},
		{"no messages", `{}`, nil, 400, "BadRequest"},
		{"body too long", strings.Repeat("x", 2<<10), nil, 400, "longer than 1024 bytes"},
		{"forged session token", helloBody, map[string]string{"Endivehitch-Session": "a.b"}, 400, "session token"},
		{"deadline is not a duration", helloBody, map[string]string{"Endivehitch-Deadline": "soon"}, 400, "duration"},
		{"unknown quality class", helloBody, map[string]string{"Endivehitch-Quality": "Finest"}, 400, "Best"},
		{"idempotency key too long", helloBody, map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, 400, "255"},
		{"unknown API key", helloBody, map[string]string{"Authorization": "Bearer other"}, 401, "UnknownAccount"},
	}
	for _, c := range cases {
		resp, body := post(t, base, c.body, c.headers)
		assert.Equal(t, resp.StatusCode, c.status, c.name)
		assert.Equal(t, resp.Header.Get("Content-Type"), "application/problem+json", c.name)
		assert.Assert(t, strings.Contains(body, c.reason), "%s: %s", c.name, body)
		assert.Assert(t, strings.Contains(body, `"NotRun":true`), c.name)
	}
	assert.Equal(t, len(s.jobs), 0)
}

func TestRetryAfterRoundsUp(t *testing.T) {
	s := &fakeServer{fail: value.Refusal{Reason: value.ReasonOverloaded, NotRun: true, RetryAfter: 1200 * time.Millisecond}}
	resp, _ := post(t, startFront(t, s, testLimits()), helloBody, nil)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, resp.Header.Get("Retry-After"), "2")
}

func TestRequestOverInFlightLimitIsRefusedAtOnce(t *testing.T) {
	s := &fakeServer{release: make(chan struct{}), held: make(chan struct{}, 1)}
	limits := testLimits()
	limits.InFlight = 1
	base := startFront(t, s, limits)
	first := make(chan int, 1)
	go func() {
		resp, _ := post(t, base, helloBody, nil)
		first <- resp.StatusCode
	}()
	<-s.held
	resp, body := post(t, base, helloBody, nil)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Assert(t, strings.Contains(body, `"NotRun":true`), body)
	close(s.release)
	assert.Equal(t, <-first, http.StatusOK)
	assert.Equal(t, len(s.jobs), 1)
}

func TestRequestsAreRefusedWhileBillsCannotBeStored(t *testing.T) {
	s := &fakeServer{}
	base := startFrontWith(t, s, testLimits(), true)
	resp, body := post(t, base, helloBody, nil)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Assert(t, strings.Contains(body, `"NotRun":true`), body)
	assert.Equal(t, len(s.jobs), 0)
	ready, err := http.Get(base + "/ready")
	assert.NilError(t, err)
	defer ready.Body.Close()
	assert.Equal(t, ready.StatusCode, http.StatusServiceUnavailable)
}

func TestSlowBodyIsRefusedAfterReadTimeout(t *testing.T) {
	limits := testLimits()
	limits.ReadTimeout = 20 * time.Millisecond
	base := startFront(t, &fakeServer{}, limits)
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 10\r\n\r\n{")
	assert.NilError(t, err)
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(answer), "400 Bad Request"), string(answer))
}
