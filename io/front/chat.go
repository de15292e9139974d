package front

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// wireChat is what routing needs of a chat-completions body; the rest passes through.
type wireChat struct {
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Messages            []json.RawMessage `json:"messages"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (f *Front) chat(w http.ResponseWriter, r *http.Request, c caller) error {
	body, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	var wire wireChat
	if err := json.Unmarshal(body, &wire); err != nil {
		return badRequest("decode body: " + err.Error())
	}
	if len(wire.Messages) == 0 {
		return badRequest("messages must not be empty")
	}
	req, session, err := f.request(r, c, body)
	if err != nil {
		return err
	}
	kind, _ := f.Snapshot().Kind(req.Kind)
	req.MaxTokens = maxTokens(wire, kind)
	req.Prefix = xxhash.Sum64(wire.Messages[0])
	req.Stream = wire.Stream
	call := engine.Call{Body: body, ContentType: jsonType, Stream: wire.Stream, Key: req.Key}
	s := &sink{w: w, front: f, session: session, streamed: wire.Stream, usage: wire.StreamOptions.IncludeUsage}
	return f.serve(r, flow.Job{Request: req, Call: call}, s)
}

// serve answers the job; once part of an answer is out, a failure can only be told by breaking the connection.
func (f *Front) serve(r *http.Request, j flow.Job, s *sink) error {
	_, err := f.Server.Serve(r.Context(), j, s)
	if err != nil && s.begun {
		panic(http.ErrAbortHandler)
	}
	return err
}

func maxTokens(wire wireChat, k value.Kind) int {
	asked := max(wire.MaxTokens, wire.MaxCompletionTokens)
	if asked == 0 {
		return k.MaxTokens
	}
	return min(asked, k.MaxTokens)
}
