package front

import (
	"fmt"
	"net/http"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// sink writes an answer to the caller as it arrives.
type sink struct {
	w        http.ResponseWriter
	streamed bool
	begun    bool
}

func newSink(w http.ResponseWriter, wire wireChat) *sink {
	return &sink{w: w, streamed: wire.Stream}
}

func (s *sink) Begin(h engine.Head, v value.VersionKey) error {
	s.begun = true
	s.w.Header().Set("Content-Type", h.ContentType)
	s.w.Header().Set(headerVersion, string(v))
	s.w.WriteHeader(h.Status)
	return nil
}

func (s *sink) Write(p engine.Piece) error {
	if !s.streamed {
		if _, err := s.w.Write(p.Data); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		return nil
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", p.Data); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return s.flush()
}

func (s *sink) End(engine.Usage) error {
	if !s.streamed {
		return nil
	}
	if _, err := fmt.Fprint(s.w, "data: [DONE]\n\n"); err != nil {
		return fmt.Errorf("write end marker: %w", err)
	}
	return s.flush()
}

func (s *sink) flush() error {
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}
