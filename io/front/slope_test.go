package front_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
	"endivehitch/io/front"
)

// streamServer answers every job with as many pieces as its value says.
type streamServer int

func (n streamServer) Serve(_ context.Context, _ flow.Job, writer flow.ResponseWriter) (flow.Result, error) {
	if err := writer.WriteHead(engine.Head{Status: http.StatusOK, ContentType: "text/event-stream"}, "m/v1"); err != nil {
		return flow.Result{}, err
	}
	piece := engine.Piece{Data: []byte(`{"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":" word"}}]}`)}
	for range int(n) {
		if err := writer.Write(piece); err != nil {
			return flow.Result{}, err
		}
	}
	return flow.Result{}, writer.End(engine.Usage{})
}

// discardWriter is an http.ResponseWriter that discards everything.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) Flush()                      {}

// BenchmarkSlopeAnswer measures the processor time that a Front takes for a streamed answer, by its
// number of pieces.
func BenchmarkSlopeAnswer(b *testing.B) {
	for _, n := range []int{1, 16, 128, 1024} {
		b.Run(fmt.Sprintf("Pieces%d", n), func(b *testing.B) {
			h := newHandler(b, streamServer(n))
			body := `{"stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 200) + `"}]}`
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", io.NopCloser(strings.NewReader(body)))
				r.Header.Set("Authorization", "Bearer secret")
				r.Header.Set("Endivehitch-Kind", "spelling")
				h.ServeHTTP(discardWriter{header: http.Header{}}, r)
			}
		})
	}
}

func newHandler(b *testing.B, s front.JobServer) http.Handler {
	b.Helper()
	signer, err := front.NewSigner(bytes.Repeat([]byte{1}, 32))
	if err != nil {
		b.Fatal(err)
	}
	sum := sha256.Sum256([]byte("secret"))
	snapshot := state.New(value.Instance{ID: "i-1"})
	f, err := front.New(front.Config{
		JobServer:     s,
		Snapshot:      func() state.State { return snapshot },
		CanStoreBills: func() bool { return true },
		Keys:          map[string]value.AccountName{hex.EncodeToString(sum[:]): "ward-12"},
		Signer:        signer,
		Now:           time.Now,
		Limits:        front.Limits{BodyBytes: 1 << 20, ReadTimeout: time.Minute, WriteTimeout: time.Minute, InFlight: 4},
	})
	if err != nil {
		b.Fatal(err)
	}
	return f.Handler()
}
