package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index   int          `json:"index"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type chatBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatAnswer is one answer under way.
type chatAnswer struct {
	chat  *Chat
	w     http.ResponseWriter
	gone  <-chan struct{}
	id    string
	model string
	words []string
	usage chatUsage
}

func (a chatAnswer) whole() {
	for i := range a.words {
		a.pause(i)
	}
	stop := "stop"
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(chatBody{
		ID: a.id, Object: "chat.completion", Model: a.model, Usage: &a.usage,
		Choices: []chatChoice{{
			Message: &chatMessage{Role: "assistant", Content: strings.Join(a.words, " ")},
			Finish:  &stop,
		}},
	})
}

func (a chatAnswer) stream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range a.words {
		a.pause(i)
		if i > 0 {
			word = " " + word
		}
		a.chunk(chatBody{Choices: []chatChoice{{Delta: &chatMessage{Content: word}}}})
	}
	stop := "stop"
	a.chunk(chatBody{Choices: []chatChoice{{Delta: &chatMessage{}, Finish: &stop}}})
	a.chunk(chatBody{Choices: []chatChoice{}, Usage: &a.usage})
	fmt.Fprint(a.w, "data: [DONE]\n\n")
}

// pause takes a word's time, and fails in the midst of the answer where a fault says so.
func (a chatAnswer) pause(i int) {
	word := a.chat.WordTime
	if word == 0 {
		word = defaultWordTime
	}
	a.chat.mu.Lock()
	fault := a.chat.fault
	a.chat.mu.Unlock()
	midst := i == len(a.words)/2
	if midst && fault == FaultStall {
		<-a.gone
	}
	if midst && fault == FaultCut {
		panic(http.ErrAbortHandler)
	}
	t := time.NewTimer(word)
	defer t.Stop()
	select {
	case <-a.gone:
		panic(http.ErrAbortHandler)
	case <-t.C:
	}
}

func (a chatAnswer) chunk(b chatBody) {
	b.ID, b.Object, b.Model = a.id, "chat.completion.chunk", a.model
	data, err := json.Marshal(b)
	if err != nil {
		return
	}
	fmt.Fprintf(a.w, "data: %s\n\n", data)
	_ = http.NewResponseController(a.w).Flush()
}
