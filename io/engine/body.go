package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"endivehitch/core/policy"
)

// readBufferBytes bounds one piece of a plain service's answer.
const readBufferBytes = 32 << 10

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (w wireUsage) usage() Usage {
	return Usage{InputTokens: w.PromptTokens, OutputTokens: w.CompletionTokens}
}

// bodyAnswer is an answer that is not streamed, from an engine or a plain service.
type bodyAnswer struct {
	resp   *http.Response
	cancel func()
	// hasUsage is set for answers of engines, whose body holds the usage.
	hasUsage bool
	// account counts the body that is read whole.
	account *policy.BufferAccount
	usage   Usage
	done    bool
}

func newBodyAnswer(resp *http.Response, cancel func(), account *policy.BufferAccount, hasUsage bool) *bodyAnswer {
	return &bodyAnswer{resp: resp, cancel: cancel, account: account, hasUsage: hasUsage}
}

func (b *bodyAnswer) Head() Head {
	return Head{Status: b.resp.StatusCode, ContentType: b.resp.Header.Get("Content-Type")}
}

func (b *bodyAnswer) Next(_ context.Context) (Piece, error) {
	if b.done {
		return Piece{}, io.EOF
	}
	if b.hasUsage {
		return b.readAll()
	}
	buf := make([]byte, readBufferBytes)
	n, err := b.resp.Body.Read(buf)
	if errors.Is(err, io.EOF) {
		b.done = true
		if n == 0 {
			return Piece{}, io.EOF
		}
		err = nil
	}
	if err != nil {
		return Piece{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return Piece{Data: buf[:n]}, nil
}

// readAll returns the complete body as one piece, so that an answer that is cut off can be retried
// before any of it has reached the caller.
func (b *bodyAnswer) readAll() (Piece, error) {
	body, err := io.ReadAll(countedReader{source: b.resp.Body, account: b.account})
	if err != nil {
		return Piece{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	var fields struct {
		Usage wireUsage `json:"usage"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return Piece{}, fmt.Errorf("%w: decode answer: %w", ErrTruncated, err)
	}
	b.usage = fields.Usage.usage()
	b.done = true
	return Piece{Data: body}, nil
}

// errTooLong ends an answer that is longer than what may be kept of it.
var errTooLong = errors.New("answer is too long")

// countedReader reads what the account allows; after that it fails with errTooLong.
type countedReader struct {
	source  io.Reader
	account *policy.BufferAccount
}

// Read reads from the source and counts the bytes.
func (r countedReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if !r.account.Grow(n) {
		return 0, errTooLong
	}
	return n, err
}

func (b *bodyAnswer) Usage() Usage {
	return b.usage
}

func (b *bodyAnswer) Cancel() {
	b.cancel()
	_ = b.resp.Body.Close()
	b.account.Close()
}
