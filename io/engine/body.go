package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"endivehitch/core/policy"
	"endivehitch/io/strict"
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
	// isServerGone reports whether the server's process has ended.
	isServerGone func(ctx context.Context) bool
	usage        Usage
	// end is set once the body has been read to its end.
	end error
}

func (b *bodyAnswer) Head() Head {
	return Head{Status: b.resp.StatusCode, ContentType: b.resp.Header.Get("Content-Type")}
}

func (b *bodyAnswer) Next(ctx context.Context) (Piece, error) {
	if b.end != nil {
		return Piece{}, b.end
	}
	if b.hasUsage {
		return b.readAll()
	}
	buf := make([]byte, readBufferBytes)
	n, err := b.resp.Body.Read(buf)
	if errors.Is(err, io.EOF) {
		b.end = b.checkEnd(ctx)
		if n == 0 {
			return Piece{}, b.end
		}
		err = nil
	}
	if err != nil {
		return Piece{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return Piece{Data: buf[:n]}, nil
}

// errServerGone means that an answer ended with its connection, and its server is gone.
var errServerGone = errors.New("server is gone after an answer without a marked end")

// checkEnd returns io.EOF if the end of the body is that of the answer. Where the end of the connection marks it, a server that
// is gone by then may have had more to send.
func (b *bodyAnswer) checkEnd(ctx context.Context) error {
	if strict.EndsWithConnection(b.resp) && b.isServerGone(ctx) {
		return fmt.Errorf("%w: %w", ErrTruncated, errServerGone)
	}
	return io.EOF
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
	// The body is one value, which would not be whole without its end.
	b.end = io.EOF
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
