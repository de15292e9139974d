package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const pieceBytes = 32 << 10

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (w wireUsage) usage() Usage {
	return Usage{InputTokens: w.PromptTokens, OutputTokens: w.CompletionTokens}
}

type whole struct {
	resp   *http.Response
	cancel func()
	// metered answers carry the engine's usage in their body.
	metered bool
	body    []byte
	usage   Usage
	done    bool
}

func newWhole(resp *http.Response, cancel func(), metered bool) *whole {
	return &whole{resp: resp, cancel: cancel, metered: metered}
}

func (w *whole) Head() Head {
	return Head{Status: w.resp.StatusCode, ContentType: w.resp.Header.Get("Content-Type")}
}

func (w *whole) Next(_ context.Context) (Piece, error) {
	if w.done {
		return Piece{}, io.EOF
	}
	if w.metered {
		return w.all()
	}
	buf := make([]byte, pieceBytes)
	n, err := w.resp.Body.Read(buf)
	if errors.Is(err, io.EOF) {
		w.done = true
		if n == 0 {
			return Piece{}, io.EOF
		}
		err = nil
	}
	if err != nil {
		return Piece{}, fmt.Errorf("%w: %w", ErrCutOff, err)
	}
	return Piece{Data: buf[:n]}, nil
}

// all reads the whole body before it gives out a piece, so that a cut-off answer can still be retried.
func (w *whole) all() (Piece, error) {
	body, err := io.ReadAll(w.resp.Body)
	if err != nil {
		return Piece{}, fmt.Errorf("%w: %w", ErrCutOff, err)
	}
	var fields struct {
		Usage wireUsage `json:"usage"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return Piece{}, fmt.Errorf("%w: decode answer: %w", ErrCutOff, err)
	}
	w.usage = fields.Usage.usage()
	w.done = true
	return Piece{Data: body}, nil
}

func (w *whole) Usage() Usage {
	return w.usage
}

func (w *whole) Cancel() {
	w.cancel()
	_ = w.resp.Body.Close()
}
