package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	wordsPerAnswer         = 8
	defaultWordTime        = 2 * time.Millisecond
	headerRequestID        = "X-Request-Id"
	headerFencingToken     = "Fencing-Token"
	headerFencingTokenSeen = "Fencing-Token-Seen"
)

// Fault is a way in which all further attempts at a stand-in backend server fail.
type Fault string

// The faults of a stand-in backend server.
const (
	FaultNone         Fault = ""
	FaultBusy         Fault = "Busy"    // answers 503 without running the request
	FaultReset        Fault = "Reset"   // closes the connection before the answer
	FaultTruncate     Fault = "Cut"     // closes the connection in the middle of the answer
	FaultStall        Fault = "Stall"   // stops in the middle of the answer until the caller disconnects
	FaultWrongRequest Fault = "Another" // answers with the identifier of another request
	FaultInvalid      Fault = "Invalid" // answers 400
)

// Chat is a stand-in model server that answers chat completions with a few words; its zero value is
// ready for use.
type Chat struct {
	// Name is part of each answer, so that a reader can tell which server answered.
	Name string
	// WordTime is the time from one word to the next.
	WordTime time.Duration
	// Fencing makes the server refuse load and unload orders without a valid fencing token or with
	// an outdated one.
	Fencing bool

	mu                  sync.Mutex
	attempts            int
	running             int
	fault               Fault
	versions            []string
	highestFencingToken int64
}

// Attempts returns how many attempts the server has started.
func (c *Chat) Attempts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts
}

// SetFault makes all further attempts fail in the given way; FaultNone ends this.
func (c *Chat) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// Load adds the versions to those that the server lists as loaded.
func (c *Chat) Load(versions ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, versions...)
}

// beginAttempt counts the attempt, unless a fault refuses it, and returns the fault.
func (c *Chat) beginAttempt() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault == FaultBusy || c.fault == FaultInvalid {
		return c.fault
	}
	c.attempts++
	c.running++
	return c.fault
}

func (c *Chat) endAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

// ServeHTTP serves chat completions, the list of models, metrics, and orders to load or unload a
// version.
func (c *Chat) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions":
		c.complete(w, r)
	case "/v1/models":
		c.writeModels(w)
	case "/metrics":
		c.writeMetrics(w)
	case "/v1/load_lora_adapter", "/v1/unload_lora_adapter":
		c.loadOrUnload(w, r)
	default:
		http.NotFound(w, r)
	}
}

type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (c *Chat) complete(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch c.beginAttempt() {
	case FaultBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case FaultInvalid:
		http.Error(w, "invalid parameter", http.StatusBadRequest)
		return
	case FaultReset:
		c.endAttempt()
		panic(http.ErrAbortHandler)
	case FaultWrongRequest:
		w.Header().Set(headerRequestID, "another-request")
	default:
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	}
	defer c.endAttempt()
	answer := chatAnswer{chat: c, w: w, callerDisconnected: r.Context().Done(), id: r.Header.Get(headerRequestID), model: req.Model, words: c.words(req)}
	answer.usage = chatUsage{PromptTokens: promptTokens(req), CompletionTokens: len(answer.words)}
	answer.usage.TotalTokens = answer.usage.PromptTokens + answer.usage.CompletionTokens
	if req.Stream {
		answer.writeStream()
		return
	}
	answer.writeComplete()
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

func (c *Chat) writeModels(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	type model struct {
		ID string `json:"id"`
	}
	data := []model{}
	for _, v := range c.versions {
		data = append(data, model{ID: v})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": data})
}

func (c *Chat) writeMetrics(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{engine=\"0\"} %d\n", c.running)
	fmt.Fprintf(w, "vllm:num_requests_waiting{engine=\"0\"} 0\n")
}

func (c *Chat) loadOrUnload(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fencingToken, err := strconv.ParseInt(r.Header.Get(headerFencingToken), 10, 64)
	if c.Fencing && (err != nil || fencingToken < c.highestFencingToken) {
		w.Header().Set(headerFencingTokenSeen, strconv.FormatInt(c.highestFencingToken, 10))
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highestFencingToken = max(c.highestFencingToken, fencingToken)
	var order struct {
		Name string `json:"lora_name"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	versions := c.versions[:0:0]
	for _, v := range c.versions {
		if v != order.Name {
			versions = append(versions, v)
		}
	}
	if r.URL.Path == "/v1/load_lora_adapter" {
		versions = append(versions, order.Name)
	}
	c.versions = versions
}
