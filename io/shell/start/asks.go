package start

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"endivehitch/core/value"
	"endivehitch/io/admin/query"
	"endivehitch/io/admin/route"
	shell "endivehitch/io/shell/query"
)

// ask is one request of the demo.
type ask struct {
	title string
	path  string
	kind  string
	key   string
	body  string
}

const chatPath = "/v1/chat/completions"

func chat(text string, stream bool) string {
	return fmt.Sprintf(`{"model":"auto","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, text)
}

var demoAsks = []ask{
	{title: "a status reply, from the cheap version", path: chatPath, kind: "status-reply", body: chat("is order 17 printed", false)},
	{title: "a spelling check, streamed", path: chatPath, kind: "spelling", body: chat("dhokla khandvi rotlo", true)},
	{title: "a menu draft, from the version that reaches its target", path: chatPath, kind: "menu-draft", body: chat("one thali two rotlo", false)},
	{title: "a reorder, which runs at most once", path: "/v1/services/reorder-desk/orders", kind: "reorder", key: "order-17", body: `{"Sheets":40}`},
	{title: "the same reorder again, at another instance", path: "/v1/services/reorder-desk/orders", kind: "reorder", key: "order-17", body: `{"Sheets":40}`},
}

// requests sends each request to the next instance in turn and explains the menu draft.
func (s *stage) requests(ctx context.Context) error {
	for i, a := range demoAsks {
		at := i % len(s.members)
		if err := s.say("%s, at %s", a.title, s.members[at].node.Self.ID); err != nil {
			return err
		}
		id, err := s.send(ctx, at, a)
		if err != nil {
			return fmt.Errorf("%s: %w", a.title, err)
		}
		if a.kind != "menu-draft" {
			continue
		}
		if err := s.explain(ctx, at, id); err != nil {
			return err
		}
	}
	if placed := s.engines.orders.Load(); placed != 1 {
		return fmt.Errorf("the reorder took effect %d times", placed)
	}
	return nil
}

func (s *stage) send(ctx context.Context, at int, a ask) (value.RequestID, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.caller(at)+a.path, strings.NewReader(a.body))
	if err != nil {
		return "", fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+demoCallerKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Endivehitch-Kind", a.kind)
	if a.key != "" {
		req.Header.Set("Idempotency-Key", a.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", fmt.Errorf("read answer: %w", err)
	}
	if _, err := fmt.Fprintf(s.out, "%s\n", bytes.TrimSpace(answer)); err != nil {
		return "", fmt.Errorf("print answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("answer is %s", resp.Status)
	}
	return value.RequestID(resp.Header.Get("X-Request-Id")), nil
}

func (s *stage) explain(ctx context.Context, at int, id value.RequestID) error {
	other := (at + 1) % len(s.members)
	if err := s.say("explain %s, asked at %s", id, s.members[other].node.Self.ID); err != nil {
		return err
	}
	x, err := query.FetchExplanation(ctx, s.operator(other), id)
	if err != nil {
		return fmt.Errorf("explain request: %w", err)
	}
	return shell.PrintExplanation(s.out, x)
}

func newOperator(base string) route.Client {
	return route.Client{Base: base, Key: demoOperatorKey, HTTP: http.DefaultClient}
}
