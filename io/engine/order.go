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
	loadAdapterPath   = "/v1/load_lora_adapter"
	unloadAdapterPath = "/v1/unload_lora_adapter"
	// headerFencingToken carries the fencing token; servers that don't support fencing ignore it.
	headerFencingToken = "Fencing-Token"
	// headerHighestToken carries, in the refusal of a stale order, the highest token that the server
	// has received.
	headerHighestToken = "Fencing-Token-Seen"
)

type wireLoad struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Send delivers an order to load or unload a version; for any other verb the error wraps
// ErrUnsupported, because the LoRA adapter API has no change of role.
func (h *HTTP) Send(ctx context.Context, b value.BackendServer, o Order) error {
	path, ok := map[OrderVerb]string{OrderLoad: loadAdapterPath, OrderUnload: unloadAdapterPath}[o.Verb]
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
		return fmt.Errorf("create order request for address %s: %w", b.Address, err)
	}
	req.Header.Set("Content-Type", jsonType)
	req.Header.Set(headerFencingToken, strconv.FormatInt(o.FencingToken, 10))
	// On a connection of its own, the answer can't be a late one to another call.
	resp, err := h.unpooled.Do(req)
	if err != nil {
		return fmt.Errorf("send order to %s: %w", b.ID, markNotSent(err))
	}
	if err := orderError(resp, o); err != nil {
		return fmt.Errorf("order to %s: %w", b.ID, err)
	}
	return nil
}

// orderError closes the response and returns the error that it stands for, if any.
func orderError(resp *http.Response, o Order) error {
	highest, err := strconv.ParseInt(resp.Header.Get(headerHighestToken), 10, 64)
	if resp.StatusCode == http.StatusConflict && err == nil {
		_ = resp.Body.Close()
		return StaleTokenError{Sent: o.FencingToken, Highest: highest}
	}
	if resp.StatusCode != http.StatusOK {
		return readStatusError(resp)
	}
	_ = resp.Body.Close()
	return nil
}

// Export fails with ErrUnsupported: the chat-completions format has no export of KV caches.
func (h *HTTP) Export(context.Context, value.BackendServer, value.RequestID) ([]byte, error) {
	return nil, fmt.Errorf("export cache: %w", ErrUnsupported)
}

// Import fails with ErrUnsupported: the chat-completions format has no import of KV caches.
func (h *HTTP) Import(context.Context, value.BackendServer, value.RequestID, []byte) error {
	return fmt.Errorf("import cache: %w", ErrUnsupported)
}
