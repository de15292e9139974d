package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/fakes"
)

func newAdapter(t *testing.T, h http.Handler) (*engine.HTTP, value.BackendServer) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	a, err := engine.NewHTTP(engine.HTTPConfig{DialTimeout: time.Second, IdleConnections: 2})
	assert.NilError(t, err)
	return a, value.BackendServer{ID: "e-1", Address: s.URL}
}

func chatCall(stream bool) engine.Call {
	return engine.Call{
		Request: "r-1", Version: "m/v1", Stream: stream, ContentType: "application/json",
		Body: fmt.Appendf(nil, `{"stream":%t,"messages":[{"role":"user","content":"hello"}]}`, stream),
	}
}

// drain reads the answer to its end and returns the number of pieces and the final error.
func drain(ctx context.Context, a engine.Answer) (int, error) {
	for n := 0; ; n++ {
		if _, err := a.Next(ctx); err != nil {
			return n, err
		}
	}
}

func TestUsageIsCompleteAfterEOF(t *testing.T) {
	for _, stream := range []bool{false, true} {
		a, b := newAdapter(t, &fakes.Chat{Name: "x"})
		answer, err := a.Start(t.Context(), b, chatCall(stream))
		assert.NilError(t, err)
		_, err = drain(t.Context(), answer)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, answer.Usage(), engine.Usage{InputTokens: 1, OutputTokens: 5})
		answer.Cancel()
	}
}

func TestServerFaultsReturnDistinctErrors(t *testing.T) {
	for _, stream := range []bool{false, true} {
		chat := &fakes.Chat{Name: "x"}
		a, b := newAdapter(t, chat)
		chat.SetFault(fakes.FaultWrongRequest)
		_, err := a.Start(t.Context(), b, chatCall(stream))
		assert.ErrorIs(t, err, engine.ErrMismatch)
		chat.SetFault(fakes.FaultBusy)
		_, err = a.Start(t.Context(), b, chatCall(stream))
		var status engine.StatusError
		assert.Assert(t, errors.As(err, &status) && !status.Permanent())
		chat.SetFault(fakes.FaultInvalid)
		_, err = a.Start(t.Context(), b, chatCall(stream))
		assert.Assert(t, errors.As(err, &status) && status.Permanent())
		chat.SetFault(fakes.FaultReset)
		_, err = a.Start(t.Context(), b, chatCall(stream))
		assert.Assert(t, err != nil && !errors.Is(err, engine.ErrNotSent))
	}
}

func TestTruncatedStreamReturnsErrTruncated(t *testing.T) {
	chat := &fakes.Chat{Name: "x"}
	chat.SetFault(fakes.FaultTruncate)
	a, b := newAdapter(t, chat)
	answer, err := a.Start(t.Context(), b, chatCall(true))
	assert.NilError(t, err)
	n, err := drain(t.Context(), answer)
	assert.ErrorIs(t, err, engine.ErrTruncated)
	assert.Assert(t, n > 0)
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	a, _ := newAdapter(t, http.NotFoundHandler())
	_, err := a.Start(t.Context(), value.BackendServer{ID: "none", Address: "http://127.0.0.1:1"}, chatCall(false))
	assert.ErrorIs(t, err, engine.ErrNotSent)
}

// Guards against sending a call with an idempotency key twice: if the server closes a reused
// connection as the call arrives on it, the transport may resend the call on a new one.
func TestCallWithIdempotencyKeyIsSentOnce(t *testing.T) {
	var received atomic.Int64
	a, b := newAdapter(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == 1 {
			w.WriteHeader(http.StatusOK)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	call := engine.Call{Request: "r", Method: http.MethodPost, Path: "/orders", Key: "k"}
	answer, err := a.Start(t.Context(), b, call)
	assert.NilError(t, err)
	_, err = drain(t.Context(), answer)
	assert.Assert(t, errors.Is(err, io.EOF))
	answer.Cancel()
	_, err = a.Start(t.Context(), b, call)
	assert.Assert(t, err != nil && !errors.Is(err, engine.ErrNotSent))
	assert.Equal(t, received.Load(), int64(2))
}

func TestStaleOrderIsRefusedAndLoadedVersionsAreListed(t *testing.T) {
	chat := &fakes.Chat{Name: "x", Fencing: true}
	a, b := newAdapter(t, chat)
	load := engine.Order{Verb: engine.OrderLoad, Version: "m/v2", FencingToken: 7}
	assert.NilError(t, a.Send(t.Context(), b, load))
	load.FencingToken = 6
	err := a.Send(t.Context(), b, load)
	var stale engine.StaleTokenError
	assert.Assert(t, errors.As(err, &stale))
	assert.Equal(t, stale, engine.StaleTokenError{Sent: 6, Highest: 7})
	loaded, err := a.LoadedVersions(t.Context(), b)
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, []value.VersionKey{"m/v2"})
	err = a.Send(t.Context(), b, engine.Order{Verb: engine.OrderRole, Role: "prefill", FencingToken: 8})
	assert.ErrorIs(t, err, engine.ErrUnsupported)
}

func TestLoadSumsGaugesOfAllEngines(t *testing.T) {
	a, b := newAdapter(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "# HELP x\nvllm:num_requests_running{engine=\"0\"} 3\nvllm:num_requests_running{engine=\"1\"} 2\nvllm:num_requests_waiting{engine=\"0\"} 4\n")
	}))
	r, err := a.Load(t.Context(), b)
	assert.NilError(t, err)
	assert.Equal(t, r.Running, 5)
	assert.Equal(t, r.Queued, 4)
}
