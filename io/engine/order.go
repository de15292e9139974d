package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"endivehitch/core/value"
)

const (
	loadPath   = "/v1/load_lora_adapter"
	unloadPath = "/v1/unload_lora_adapter"
	// headerFence carries the fencing token; servers that don't know it ignore it.
	headerFence = "Fencing-Token"
	// headerSeen carries the highest token of a server that refuses an order.
	headerSeen = "Fencing-Token-Seen"
)

type wireLoad struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Send delivers an order to load or unload a version; a change of role is not part of the format.
func (h *HTTP) Send(ctx context.Context, b value.BackendServer, o Order) error {
	path, ok := map[OrderVerb]string{OrderLoad: loadPath, OrderUnload: unloadPath}[o.Verb]
	if !ok {
		return fmt.Errorf("order %s: %w", o.Verb, ErrUnsupported)
	}
	wire := wireLoad{Name: string(o.Version)}
	if o.Verb == OrderLoad {
		wire.Path = string(o.Version)
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("address %s: %w", b.Address, err)
	}
	req.Header.Set("Content-Type", jsonType)
	req.Header.Set(headerFence, strconv.FormatInt(o.Fence, 10))
	resp, err := h.client.Do(req)
	if err != nil {
		return fmt.Errorf("send order to %s: %w", b.ID, notSent(err))
	}
	if err := orderError(resp, o); err != nil {
		return fmt.Errorf("order to %s: %w", b.ID, err)
	}
	return nil
}

func orderError(resp *http.Response, o Order) error {
	seen, err := strconv.ParseInt(resp.Header.Get(headerSeen), 10, 64)
	if resp.StatusCode == http.StatusConflict && err == nil {
		_ = resp.Body.Close()
		return StaleFence{Sent: o.Fence, Seen: seen}
	}
	if resp.StatusCode != http.StatusOK {
		return badStatus(resp)
	}
	_ = resp.Body.Close()
	return nil
}

// Export returns ErrUnsupported: the chat-completions format has no export of caches.
func (h *HTTP) Export(context.Context, value.BackendServer, value.RequestID) ([]byte, error) {
	return nil, fmt.Errorf("export cache: %w", ErrUnsupported)
}

// Import returns ErrUnsupported: the chat-completions format has no import of caches.
func (h *HTTP) Import(context.Context, value.BackendServer, value.RequestID, []byte) error {
	return fmt.Errorf("import cache: %w", ErrUnsupported)
}
