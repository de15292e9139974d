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

// demoRequest is one request that the demo sends.
type demoRequest struct {
	title string
	path  string
	kind  string
	key   string
	body  string
}

const chatPath = "/v1/chat/completions"

func chatBody(text string, stream bool) string {
	return fmt.Sprintf(`{"model":"auto","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, text)
}

var demoRequests = []demoRequest{
	{title: "a status reply, from the cheap version", path: chatPath, kind: "status-reply", body: chatBody("is order 17 printed", false)},
	{title: "a spelling check, streamed", path: chatPath, kind: "spelling", body: chatBody("dhokla khandvi rotlo", true)},
	{title: "a menu draft, from the version that reaches its target", path: chatPath, kind: "menu-draft", body: chatBody("one thali two rotlo", false)},
	{title: "a reorder, which runs at most once", path: "/v1/services/reorder-desk/orders", kind: "reorder", key: "order-17", body: `{"Sheets":40}`},
	{title: "the same reorder again, at another instance", path: "/v1/services/reorder-desk/orders", kind: "reorder", key: "order-17", body: `{"Sheets":40}`},
}

// sendRequests sends the requests to the instances in turn, and prints an explanation of the menu
// draft. It fails unless the reorder, which is sent twice, took effect once.
func (f *demoFleet) sendRequests(ctx context.Context) error {
	for i, request := range demoRequests {
		index := i % len(f.instances)
		if err := f.printHeading("%s, at %s", request.title, f.instances[index].node.Self.ID); err != nil {
			return err
		}
		id, err := f.send(ctx, index, request)
		if err != nil {
			return fmt.Errorf("%s: %w", request.title, err)
		}
		if request.kind != "menu-draft" {
			continue
		}
		if err := f.explain(ctx, index, id); err != nil {
			return err
		}
	}
	if placed := f.servers.placedOrders.Load(); placed != 1 {
		return fmt.Errorf("the reorder took effect %d times, not once", placed)
	}
	return nil
}

func (f *demoFleet) send(ctx context.Context, index int, request demoRequest) (value.RequestID, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.callerURL(index)+request.path, strings.NewReader(request.body))
	if err != nil {
		return "", fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+demoCallerKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Endivehitch-Kind", request.kind)
	if request.key != "" {
		req.Header.Set("Idempotency-Key", request.key)
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
	if _, err := fmt.Fprintf(f.out, "%s\n", bytes.TrimSpace(answer)); err != nil {
		return "", fmt.Errorf("print answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("instance answered %s", resp.Status)
	}
	return value.RequestID(resp.Header.Get("X-Request-Id")), nil
}

// explain prints the explanation of the request. It asks another instance than the one that served the
// request, since any instance can explain it.
func (f *demoFleet) explain(ctx context.Context, index int, id value.RequestID) error {
	next := (index + 1) % len(f.instances)
	if err := f.printHeading("explain %s, asked at %s", id, f.instances[next].node.Self.ID); err != nil {
		return err
	}
	explanation, err := query.FetchExplanation(ctx, f.operatorClient(next), id)
	if err != nil {
		return fmt.Errorf("explain request: %w", err)
	}
	return shell.PrintExplanation(f.out, explanation)
}

func newOperatorClient(base string) route.Client {
	return route.Client{Base: base, Key: demoOperatorKey, HTTP: http.DefaultClient}
}
