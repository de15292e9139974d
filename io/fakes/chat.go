package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	wordsPerAnswer = 8
	wordTime       = 2 * time.Millisecond
)

// Chat is a stand-in model engine that answers chat completions with a few words.
type Chat struct {
	// Name goes into each answer, so that a reader sees who answered.
	Name string
	runs atomic.Int64
}

// Runs returns how many runs the engine has started.
func (c *Chat) Runs() int64 {
	return c.runs.Load()
}

type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ServeHTTP answers POST /v1/chat/completions, whole or streamed.
func (c *Chat) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.runs.Add(1)
	words := c.words(req)
	usage := chatUsage{PromptTokens: promptTokens(req), CompletionTokens: len(words)}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	id := r.Header.Get("X-Request-Id")
	if req.Stream {
		streamWords(r.Context().Done(), w, id, req.Model, words, usage)
		return
	}
	writeWhole(w, id, req.Model, words, usage)
}

func (c *Chat) words(req chatRequest) []string {
	text := ""
	if n := len(req.Messages); n > 0 {
		text = req.Messages[n-1].Content
	}
	words := append([]string{c.Name, "on", req.Model, "answers:"}, strings.Fields(text)...)
	return words[:min(len(words), wordsPerAnswer)]
}

func promptTokens(req chatRequest) int {
	n := 0
	for _, m := range req.Messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

func writeWhole(w http.ResponseWriter, id, model string, words []string, usage chatUsage) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": id, "object": "chat.completion", "created": 0, "model": model, "usage": usage,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": strings.Join(words, " ")},
		}},
	})
}

func streamWords(gone <-chan struct{}, w http.ResponseWriter, id, model string, words []string, usage chatUsage) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range words {
		select {
		case <-gone:
			return
		case <-time.After(wordTime):
		}
		sep := " "
		if i == 0 {
			sep = ""
		}
		writeChunk(w, id, model, map[string]any{"content": sep + word}, nil, nil)
	}
	writeChunk(w, id, model, map[string]any{}, "stop", nil)
	writeChunk(w, id, model, nil, nil, &usage)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w http.ResponseWriter, id, model string, delta, finish any, usage *chatUsage) {
	chunk := map[string]any{"id": id, "object": "chat.completion.chunk", "created": 0, "model": model}
	chunk["choices"] = []any{}
	if delta != nil {
		chunk["choices"] = []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}}
	}
	if usage != nil {
		chunk["usage"] = usage
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
