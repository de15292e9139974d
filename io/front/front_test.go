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

// server answers every job with its own version, and keeps what it was asked.
type server struct {
	jobs []flow.Job
	// hold, if set, keeps each job until it is closed; entered tells that one is held.
	hold    chan struct{}
	entered chan struct{}
	fail    error
}

func (s *server) Serve(_ context.Context, j flow.Job, sink flow.Sink) (flow.Result, error) {
	s.jobs = append(s.jobs, j)
	if s.hold != nil {
		s.entered <- struct{}{}
		<-s.hold
	}
	if s.fail != nil {
		return flow.Result{}, s.fail
	}
	if err := sink.Begin(engine.Head{Status: http.StatusOK, ContentType: "application/json"}, "m/v1"); err != nil {
		return flow.Result{}, err
	}
	if err := sink.Write(engine.Piece{Data: []byte(`{}`)}); err != nil {
		return flow.Result{}, err
	}
	return flow.Result{}, sink.End(engine.Usage{})
}

func face(t *testing.T, s front.Server, limits front.Limits) string {
	t.Helper()
	return faceOf(t, s, limits, false)
}

func faceOf(t *testing.T, s front.Server, limits front.Limits, unable bool) string {
	t.Helper()
	signer, err := front.NewSigner(key(1))
	assert.NilError(t, err)
	sum := sha256.Sum256([]byte("secret"))
	snapshot := state.New(value.Instance{ID: "i-1"}).WithConfig(value.AcceptedDocument{Revision: 1, Document: value.Document{
		Kinds: []value.Kind{{Name: "spelling", Model: "m", Deadline: time.Minute, MaxTokens: 50}},
	}})
	f, err := front.New(front.Config{
		Server:   s,
		Snapshot: func() state.State { return snapshot },
		Able:     func() bool { return !unable },
		Keys:     map[string]value.AccountName{hex.EncodeToString(sum[:]): "ward-12"},
		Signer:   signer,
		Now:      time.Now,
		Limits:   limits,
	})
	assert.NilError(t, err)
	at := httptest.NewServer(f.Handler())
	t.Cleanup(at.Close)
	return at.URL
}

func wide() front.Limits {
	return front.Limits{BodyBytes: 1 << 10, ReadTime: time.Minute, WriteTime: time.Minute, InFlight: 4}
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

const hello = `{"messages":[{"role":"user","content":"hello"}],"max_tokens":900}`

func TestSessionTokenPinsTheNextRequest(t *testing.T) {
	s := &server{}
	base := face(t, s, wide())
	resp, _ := post(t, base, hello, nil)
	token := resp.Header.Get("Endivehitch-Session")
	assert.Assert(t, token != "")
	post(t, base, hello, map[string]string{"Endivehitch-Session": token})
	assert.Equal(t, s.jobs[0].Request.Pinned, value.VersionKey(""))
	assert.Equal(t, s.jobs[1].Request.Pinned, value.VersionKey("m/v1"))
	assert.Equal(t, s.jobs[1].Request.Session, s.jobs[0].Request.Session)
	assert.Equal(t, s.jobs[0].Request.MaxTokens, 50, "the kind bounds what a caller may ask")
}

func TestBadInputGetsAProblemAndRunsNothing(t *testing.T) {
	s := &server{}
	base := face(t, s, wide())
	cases := []struct {
		name, body string
		headers    map[string]string
		status     int
		reason     string
	}{
		{"no JSON", `{`, nil, 400, "BadRequest"},
		{"no messages", `{}`, nil, 400, "BadRequest"},
		{"long body", strings.Repeat("x", 2<<10), nil, 400, "longer than 1024 bytes"},
		{"forged session", hello, map[string]string{"Endivehitch-Session": "a.b"}, 400, "session token"},
		{"bad deadline", hello, map[string]string{"Endivehitch-Deadline": "soon"}, 400, "duration"},
		{"bad class", hello, map[string]string{"Endivehitch-Quality": "Finest"}, 400, "Best"},
		{"long key", hello, map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, 400, "255"},
		{"wrong API key", hello, map[string]string{"Authorization": "Bearer other"}, 401, "UnknownAccount"},
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
	s := &server{fail: value.Refusal{Reason: value.ReasonOverloaded, NotRun: true, RetryAfter: 1200 * time.Millisecond}}
	resp, _ := post(t, face(t, s, wide()), hello, nil)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, resp.Header.Get("Retry-After"), "2")
}

func TestFullFaceRefusesAtOnce(t *testing.T) {
	s := &server{hold: make(chan struct{}), entered: make(chan struct{}, 1)}
	limits := wide()
	limits.InFlight = 1
	base := face(t, s, limits)
	first := make(chan int, 1)
	go func() {
		resp, _ := post(t, base, hello, nil)
		first <- resp.StatusCode
	}()
	<-s.entered
	resp, body := post(t, base, hello, nil)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Assert(t, strings.Contains(body, `"NotRun":true`), body)
	close(s.hold)
	assert.Equal(t, <-first, http.StatusOK)
	assert.Equal(t, len(s.jobs), 1)
}

func TestNothingRunsWhoseBillCouldNotBeKept(t *testing.T) {
	s := &server{}
	base := faceOf(t, s, wide(), true)
	resp, body := post(t, base, hello, nil)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Assert(t, strings.Contains(body, `"NotRun":true`), body)
	assert.Equal(t, len(s.jobs), 0)
	ready, err := http.Get(base + "/ready")
	assert.NilError(t, err)
	defer ready.Body.Close()
	assert.Equal(t, ready.StatusCode, http.StatusServiceUnavailable)
}

func TestSlowBodyIsCutOff(t *testing.T) {
	limits := wide()
	limits.ReadTime = 20 * time.Millisecond
	base := face(t, &server{}, limits)
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 10\r\n\r\n{")
	assert.NilError(t, err)
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(answer), "400 Bad Request"), string(answer))
}
