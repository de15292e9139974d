package front

import (
	"encoding/json"
	"fmt"
	"net/http"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

const jsonType = "application/json"

// sink writes an answer to the caller as it arrives.
type sink struct {
	w        http.ResponseWriter
	front    *Front
	session  Session
	streamed bool
	// usage is set when the caller asked for the usage of a streamed answer.
	usage bool
	begun bool
}

// Begin sends the status, and the token by which the session keeps its version.
func (s *sink) Begin(h engine.Head, v value.VersionKey) error {
	if v != "" {
		s.session.Version = v
	}
	token, err := s.front.Signer.Sign(s.session)
	if err != nil {
		return fmt.Errorf("sign session token: %w", err)
	}
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", h.ContentType)
	header.Set(headerVersion, string(v))
	header.Set(headerSession, token)
	s.w.WriteHeader(h.Status)
	return nil
}

func (s *sink) Write(p engine.Piece) error {
	if !s.streamed {
		return s.write(p.Data)
	}
	if !s.usage && onlyUsage(p.Data) {
		return nil
	}
	return s.event(p.Data)
}

// onlyUsage reports whether an event carries nothing but the usage, which the adapter always asks for.
func onlyUsage(data []byte) bool {
	var chunk struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   json.RawMessage   `json:"usage"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false
	}
	return len(chunk.Choices) == 0 && len(chunk.Usage) > 0
}

// End sends the end marker of a streamed answer; a whole one ends with its body.
func (s *sink) End(engine.Usage) error {
	if !s.streamed {
		return nil
	}
	return s.event([]byte("[DONE]"))
}

func (s *sink) event(data []byte) error {
	if err := s.write(fmt.Appendf(nil, "data: %s\n\n", data)); err != nil {
		return err
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}

// write gives the caller a bounded time to take the bytes.
func (s *sink) write(data []byte) error {
	// Test recorders can't set deadlines; a real connection always can.
	_ = http.NewResponseController(s.w).SetWriteDeadline(s.front.Now().Add(s.front.Limits.WriteTime))
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}
