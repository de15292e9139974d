package front

import (
	"encoding/json"
	"fmt"
	"net/http"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

const jsonType = "application/json"

// responseWriter writes one answer to the caller as it arrives; it implements
// flow.ResponseWriter.
type responseWriter struct {
	w        http.ResponseWriter
	front    *Front
	session  Session
	streamed bool
	// wantsUsage is set if the caller asked for the token usage of a streamed answer.
	wantsUsage bool
	headSent   bool
}

// WriteHead sends the status and headers, among them the session token that pins the version.
func (rw *responseWriter) WriteHead(h engine.Head, v value.VersionKey) error {
	if v != "" {
		rw.session.Version = v
	}
	token, err := rw.front.Signer.Sign(rw.session)
	if err != nil {
		return fmt.Errorf("sign session token: %w", err)
	}
	rw.headSent = true
	header := rw.w.Header()
	header.Set("Content-Type", h.ContentType)
	header.Set(headerVersion, string(v))
	header.Set(headerSession, token)
	rw.w.WriteHeader(h.Status)
	return nil
}

// Write sends one piece: as an event of a streamed answer, otherwise as bytes of the body.
func (rw *responseWriter) Write(p engine.Piece) error {
	if !rw.streamed {
		return rw.write(p.Data)
	}
	if !rw.wantsUsage && isUsageOnly(p.Data) {
		return nil
	}
	return rw.writeEvent(p.Data)
}

// isUsageOnly reports whether an event carries only the token usage. The engine adapter always
// requests that event; callers that did not ask for it must not receive it.
func isUsageOnly(data []byte) bool {
	var chunk struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   json.RawMessage   `json:"usage"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false
	}
	return len(chunk.Choices) == 0 && len(chunk.Usage) > 0
}

// End sends the end marker of a streamed answer; any other answer ends with its body.
func (rw *responseWriter) End(engine.Usage) error {
	if !rw.streamed {
		return nil
	}
	return rw.writeEvent([]byte("[DONE]"))
}

func (rw *responseWriter) writeEvent(data []byte) error {
	if err := rw.write(fmt.Appendf(nil, "data: %s\n\n", data)); err != nil {
		return err
	}
	if err := http.NewResponseController(rw.w).Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}

// write sends the bytes and fails if the caller does not accept them within Limits.WriteTimeout.
func (rw *responseWriter) write(data []byte) error {
	// The error is ignored: a test recorder can't set deadlines, and a real connection always can.
	_ = http.NewResponseController(rw.w).SetWriteDeadline(rw.front.Now().Add(rw.front.Limits.WriteTimeout))
	if _, err := rw.w.Write(data); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}
