package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxEventBytes bounds one event of a streamed answer.
const maxEventBytes = 256 << 10

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// streamAnswer is an answer of server-sent events from an engine.
type streamAnswer struct {
	resp    *http.Response
	cancel  func()
	scanner *bufio.Scanner
	usage   Usage
	done    bool
}

func newStreamAnswer(resp *http.Response, cancel func()) *streamAnswer {
	s := bufio.NewScanner(resp.Body)
	s.Buffer(nil, maxEventBytes)
	return &streamAnswer{resp: resp, cancel: cancel, scanner: s}
}

func (s *streamAnswer) Head() Head {
	return Head{Status: s.resp.StatusCode, ContentType: s.resp.Header.Get("Content-Type")}
}

// Next returns the data of the next event; the answer is complete only if its end marker arrives.
func (s *streamAnswer) Next(_ context.Context) (Piece, error) {
	if s.done {
		return Piece{}, io.EOF
	}
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			s.done = true
			return Piece{}, io.EOF
		}
		if err := s.readUsage(data); err != nil {
			return Piece{}, err
		}
		return Piece{Data: bytes.Clone(data)}, nil
	}
	if err := s.scanner.Err(); err != nil {
		return Piece{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return Piece{}, fmt.Errorf("%w: stream ended without its end marker", ErrTruncated)
}

// readUsage takes the usage from an event that holds one.
func (s *streamAnswer) readUsage(data []byte) error {
	var chunk struct {
		Usage *wireUsage `json:"usage"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("%w: decode event: %w", ErrTruncated, err)
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage.usage()
	}
	return nil
}

func (s *streamAnswer) Usage() Usage {
	return s.usage
}

func (s *streamAnswer) Cancel() {
	s.cancel()
	_ = s.resp.Body.Close()
}
