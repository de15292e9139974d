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

// chatAnswer is one answer in progress.
type chatAnswer struct {
	chat               *Chat
	w                  http.ResponseWriter
	callerDisconnected <-chan struct{}
	id                 string
	model              string
	words              []string
	usage              chatUsage
}

func (a chatAnswer) writeComplete() {
	for i := range a.words {
		a.waitForWord(i)
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

func (a chatAnswer) writeStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range a.words {
		a.waitForWord(i)
		if i > 0 {
			word = " " + word
		}
		a.writeChunk(chatBody{Choices: []chatChoice{{Delta: &chatMessage{Content: word}}}})
	}
	stop := "stop"
	a.writeChunk(chatBody{Choices: []chatChoice{{Delta: &chatMessage{}, Finish: &stop}}})
	a.writeChunk(chatBody{Choices: []chatChoice{}, Usage: &a.usage})
	fmt.Fprint(a.w, "data: [DONE]\n\n")
}

// waitForWord waits for the time between words. In the middle of the answer it applies FaultStall
// and FaultTruncate. To close the connection, on FaultTruncate or when the caller has disconnected,
// it panics with http.ErrAbortHandler.
func (a chatAnswer) waitForWord(i int) {
	wordTime := a.chat.WordTime
	if wordTime == 0 {
		wordTime = defaultWordTime
	}
	a.chat.mu.Lock()
	fault := a.chat.fault
	a.chat.mu.Unlock()
	isMiddle := i == len(a.words)/2
	if isMiddle && fault == FaultStall {
		<-a.callerDisconnected
	}
	if isMiddle && fault == FaultTruncate {
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(wordTime)
	defer timer.Stop()
	select {
	case <-a.callerDisconnected:
		panic(http.ErrAbortHandler)
	case <-timer.C:
	}
}

func (a chatAnswer) writeChunk(body chatBody) {
	body.ID, body.Object, body.Model = a.id, "chat.completion.chunk", a.model
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	fmt.Fprintf(a.w, "data: %s\n\n", data)
	_ = http.NewResponseController(a.w).Flush()
}
