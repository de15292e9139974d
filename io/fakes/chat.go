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
	wordsPerAnswer  = 8
	defaultWordTime = 2 * time.Millisecond
	headerRequest   = "X-Request-Id"
	headerFence     = "Fencing-Token"
	headerSeen      = "Fencing-Token-Seen"
)

// Fault is a way in which a stand-in's next runs fail.
type Fault string

// The faults of a stand-in engine.
const (
	FaultNone    Fault = ""
	FaultBusy    Fault = "Busy"    // answers 503 and runs nothing
	FaultReset   Fault = "Reset"   // closes the connection before the answer
	FaultCut     Fault = "Cut"     // closes the connection in the midst of the answer
	FaultStall   Fault = "Stall"   // stops in the midst of the answer until the caller goes
	FaultAnother Fault = "Another" // answers another request's question
	FaultInvalid Fault = "Invalid" // answers 400
)

// Chat is a stand-in model engine that answers chat completions with a few words; its zero value is ready.
type Chat struct {
	// Name goes into each answer, so that a reader sees who answered.
	Name string
	// WordTime is the time from one word to the next.
	WordTime time.Duration
	// Fencing makes the engine refuse orders with an old fencing token.
	Fencing bool

	mu       sync.Mutex
	runs     int
	running  int
	fault    Fault
	versions []string
	fence    int64
}

// Runs returns how many runs the engine has started.
func (c *Chat) Runs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs
}

// Break makes all further runs fail in the given way.
func (c *Chat) Break(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// Load makes the engine carry the versions.
func (c *Chat) Load(versions ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, versions...)
}

func (c *Chat) begin() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault == FaultBusy || c.fault == FaultInvalid {
		return c.fault
	}
	c.runs++
	c.running++
	return c.fault
}

func (c *Chat) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

// ServeHTTP answers chat completions, the lists of models and gauges, and orders.
func (c *Chat) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions":
		c.complete(w, r)
	case "/v1/models":
		c.list(w)
	case "/metrics":
		c.gauges(w)
	case "/v1/load_lora_adapter", "/v1/unload_lora_adapter":
		c.order(w, r)
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
	switch c.begin() {
	case FaultBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case FaultInvalid:
		http.Error(w, "invalid parameter", http.StatusBadRequest)
		return
	case FaultReset:
		c.end()
		panic(http.ErrAbortHandler)
	case FaultAnother:
		w.Header().Set(headerRequest, "another-request")
	default:
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	}
	defer c.end()
	a := chatAnswer{chat: c, w: w, gone: r.Context().Done(), id: r.Header.Get(headerRequest), model: req.Model, words: c.words(req)}
	a.usage = chatUsage{PromptTokens: promptTokens(req), CompletionTokens: len(a.words)}
	a.usage.TotalTokens = a.usage.PromptTokens + a.usage.CompletionTokens
	if req.Stream {
		a.stream()
		return
	}
	a.whole()
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

func (c *Chat) list(w http.ResponseWriter) {
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

func (c *Chat) gauges(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{engine=\"0\"} %d\n", c.running)
	fmt.Fprintf(w, "vllm:num_requests_waiting{engine=\"0\"} 0\n")
}

func (c *Chat) order(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fence, err := strconv.ParseInt(r.Header.Get(headerFence), 10, 64)
	if c.Fencing && (err != nil || fence < c.fence) {
		w.Header().Set(headerSeen, strconv.FormatInt(c.fence, 10))
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.fence = max(c.fence, fence)
	var wire struct {
		Name string `json:"lora_name"`
	}
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	kept := c.versions[:0:0]
	for _, v := range c.versions {
		if v != wire.Name {
			kept = append(kept, v)
		}
	}
	if r.URL.Path == "/v1/load_lora_adapter" {
		kept = append(kept, wire.Name)
	}
	c.versions = kept
}
