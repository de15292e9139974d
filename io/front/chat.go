package front

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
	"endivehitch/io/httpd"
)

// wireChat holds the fields of a chat-completions body that routing needs; the body itself is passed
// on to the engine.
type wireChat struct {
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Messages            []json.RawMessage `json:"messages"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// chat serves a chat completion.
func (f *Front) chat(w http.ResponseWriter, r *http.Request, c caller) error {
	held, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	defer held.Release()
	body := held.Bytes
	var wire wireChat
	if err := json.Unmarshal(body, &wire); err != nil {
		return badRequest("decode body: " + err.Error())
	}
	if len(wire.Messages) == 0 {
		return badRequest("messages must not be empty")
	}
	req, session, err := f.newRequest(r, c, body)
	if err != nil {
		return err
	}
	kind, _ := f.Snapshot().Kind(req.Kind)
	req.MaxTokens = maxTokens(wire, kind)
	req.Prefix = xxhash.Sum64(wire.Messages[0])
	req.Stream = wire.Stream
	call := engine.Call{Body: body, ContentType: jsonType, Stream: wire.Stream, Key: req.Key}
	answer := &responseWriter{w: w, front: f, session: session, streamed: wire.Stream, wantsUsage: wire.StreamOptions.IncludeUsage}
	return f.serve(r, flow.Job{Request: req, Call: call}, answer)
}

// serve runs the job and writes its answer. A failure after the head has been sent can be signaled
// only by aborting the connection.
func (f *Front) serve(r *http.Request, j flow.Job, answer *responseWriter) error {
	_, err := f.JobServer.Serve(r.Context(), j, answer)
	if err != nil && answer.headSent {
		httpd.Abort(r)
	}
	return err
}

// maxTokens returns the bound that the caller requested, at most that of the kind.
func maxTokens(wire wireChat, k value.Kind) int {
	requested := max(wire.MaxTokens, wire.MaxCompletionTokens)
	if requested == 0 {
		return k.MaxTokens
	}
	return min(requested, k.MaxTokens)
}
