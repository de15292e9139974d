package front

import (
	"encoding/json"
	"io"
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

// bytesPerToken turns a prompt's length in bytes into an estimate of its tokens.
const bytesPerToken = 4

func (f *Front) chat(w http.ResponseWriter, r *http.Request, c caller) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return badRequest("read body: " + err.Error())
	}
	var wire wireChat
	if err := json.Unmarshal(body, &wire); err != nil {
		return badRequest("decode body: " + err.Error())
	}
	if len(wire.Messages) == 0 {
		return badRequest("messages must not be empty")
	}
	req, err := f.request(r, c, wire, body)
	if err != nil {
		return err
	}
	call := engine.Call{Body: body, ContentType: "application/json", Stream: wire.Stream}
	s := newSink(w, wire)
	_, err = f.Server.Serve(r.Context(), flow.Job{Request: req, Call: call}, s)
	if err != nil && s.begun {
		// The status has gone out; only a broken connection tells the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	return err
}

func (f *Front) request(r *http.Request, c caller, wire wireChat, body []byte) (value.Request, error) {
	now := f.Now()
	name := value.KindName(r.Header.Get(headerKind))
	kind, _ := f.Snapshot().Kind(name)
	until, err := deadline(r, now, kind.Deadline)
	if err != nil {
		return value.Request{}, err
	}
	return value.Request{
		ID:          c.id,
		Account:     c.account,
		Kind:        name,
		Session:     value.SessionID(r.Header.Get(headerSession)),
		Key:         value.IdempotencyKey(r.Header.Get(headerKey)),
		Deadline:    until,
		Arrived:     now,
		InputTokens: len(body) / bytesPerToken,
		MaxTokens:   maxTokens(wire, kind),
		Question:    xxhash.Sum64(body),
		Stream:      wire.Stream,
	}, nil
}

func maxTokens(wire wireChat, k value.Kind) int {
	asked := max(wire.MaxTokens, wire.MaxCompletionTokens)
	if asked == 0 {
		return k.MaxTokens
	}
	return min(asked, k.MaxTokens)
}

func badRequest(detail string) error {
	return value.Refusal{Reason: value.ReasonBadRequest, NotRun: true, Detail: detail}
}
