package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/fakes"
)

func startRawEngine(t *testing.T, answer func(n int, id string) fakes.RawAnswer) (*fakes.RawServer, value.BackendServer) {
	t.Helper()
	s, err := fakes.StartRawServer(fakes.RawConfig{IDHeader: "X-Request-Id", Answer: answer})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s, value.BackendServer{ID: "e-1", Address: "http://" + s.Address()}
}

func answerText(status int, id, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n", status, len(body))
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	return head + "\r\n" + body
}

func plainCall(id value.RequestID) engine.Call {
	return engine.Call{Request: id, Method: http.MethodGet, Path: "/status"}
}

func call(t *testing.T, a *engine.HTTP, e value.BackendServer, id value.RequestID) (string, error) {
	t.Helper()
	return read(t.Context(), a, e, plainCall(id))
}

// read makes the call and returns the answer's body, and io.EOF if it is complete.
func read(ctx context.Context, a *engine.HTTP, e value.BackendServer, c engine.Call) (string, error) {
	answer, err := a.Start(ctx, e, c)
	if err != nil {
		return "", err
	}
	defer answer.Cancel()
	var body strings.Builder
	for {
		piece, err := answer.Next(ctx)
		if err != nil {
			return body.String(), err
		}
		body.Write(piece.Data)
	}
}

func newRawAdapter(t *testing.T) *engine.HTTP {
	t.Helper()
	a, err := engine.NewHTTP(engine.HTTPConfig{DialTimeout: time.Second, IdleConnections: 2})
	assert.NilError(t, err)
	return a
}

// A second copy of an answer may arrive when the connection is in use again, as the answer to the next
// call. Many engines don't echo identifiers.
func TestLateCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for name, echoes := range map[string]bool{"engine that echoes identifiers": true, "engine that doesn't": false} {
		t.Run(name, func(t *testing.T) {
			var before string
			_, e := startRawEngine(t, func(n int, id string) fakes.RawAnswer {
				echo := ""
				if echoes {
					echo = id
				}
				own := answerText(http.StatusOK, echo, "answer to "+id)
				text := own
				if n > 0 {
					text = before + own
				}
				before = own
				return fakes.RawAnswer{Text: text}
			})
			a := newRawAdapter(t)
			for i := range 4 {
				id := value.RequestID(fmt.Sprint("r-", i))
				body, err := call(t, a, e, id)
				if echoes && err != nil && body == "" {
					assert.ErrorIs(t, err, engine.ErrMismatch)
					continue
				}
				assert.ErrorIs(t, err, io.EOF)
				assert.Equal(t, body, "answer to "+string(id))
			}
		})
	}
}

// An anonymous refusal on a kept connection may be a late one to an earlier call, and must not be taken for
// a fault of this one.
func TestAnonymousRefusalOnAKeptConnectionIsNotAttributed(t *testing.T) {
	_, e := startRawEngine(t, func(n int, id string) fakes.RawAnswer {
		if n == 0 {
			return fakes.RawAnswer{Text: answerText(http.StatusOK, id, "ok")}
		}
		return fakes.RawAnswer{Text: answerText(http.StatusBadRequest, "", "bad")}
	})
	a := newRawAdapter(t)
	for range 2 {
		_, err := call(t, a, e, "r-1")
		assert.ErrorIs(t, err, io.EOF)
	}
	_, err := call(t, a, e, "r-2")
	assert.ErrorIs(t, err, engine.ErrMismatch)
}

func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-Long: ",
		"body": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, e := startRawEngine(t, func(int, string) fakes.RawAnswer { return fakes.RawAnswer{Text: text, Endless: "a"} })
			answer, err := newRawAdapter(t).Start(t.Context(), e, chatCall(false))
			if err == nil {
				_, err = answer.Next(t.Context())
				answer.Cancel()
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, s.Sent() < fakes.MaxEndlessBytes/2, "the adapter took %d bytes", s.Sent())
		})
	}
}

// Guards against an answer that reaches its caller framed as whole, though its server stopped inside its head.
func TestAnswerWhoseHeadIsCutIsNoAnswer(t *testing.T) {
	whole := answerText(http.StatusOK, "r-1", "")
	for _, reset := range []bool{false, true} {
		for cut := range len(whole) {
			_, e := startRawEngine(t, func(int, string) fakes.RawAnswer {
				return fakes.RawAnswer{Text: whole[:cut], Close: true, Reset: reset}
			})
			_, err := newRawAdapter(t).Start(t.Context(), e, plainCall("r-1"))
			assert.Assert(t, err != nil, "cut after %d bytes, reset %v", cut, reset)
		}
	}
}

// Guards against a request that waits until its deadline for the text of an error, while another server could answer it.
func TestErrorWhoseTextStallsIsReportedSoon(t *testing.T) {
	for name, text := range map[string]string{
		"nothing after the head": "HTTP/1.1 500 Status\r\nContent-Length: 100\r\n\r\n",
		"a few bytes":            "HTTP/1.1 500 Status\r\nContent-Length: 100\r\n\r\nfail",
	} {
		t.Run(name, func(t *testing.T) {
			_, e := startRawEngine(t, func(int, string) fakes.RawAnswer { return fakes.RawAnswer{Text: text} })
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := newRawAdapter(t).Start(ctx, e, plainCall("r-1"))
			var status engine.StatusError
			assert.Assert(t, errors.As(err, &status), "%v", err)
			assert.NilError(t, ctx.Err())
		})
	}
}
