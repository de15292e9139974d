package node_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/engine"
	"endivehitch/io/fakes"
	"endivehitch/io/front"
	"endivehitch/io/node"
	"endivehitch/io/plat"
)

const apiKey = "ward-key"

// nodeHarness is a running node with a fake backend server in each of two pools.
type nodeHarness struct {
	base  string
	chat  *fakes.Chat
	plain *fakes.PlainService
	store plat.Store
	node  *node.Node
	stop  func()
	ended chan error
}

// startNode starts a node and waits until it has a configuration and both backend servers.
func startNode(t *testing.T) *nodeHarness {
	t.Helper()
	return startNodeWithGrace(t, time.Minute)
}

func startNodeWithGrace(t *testing.T, grace time.Duration) *nodeHarness {
	t.Helper()
	harness := &nodeHarness{chat: &fakes.Chat{Name: "small"}, plain: &fakes.PlainService{Name: "desk"}, ended: make(chan error, 1)}
	chatServer := httptest.NewServer(harness.chat)
	t.Cleanup(chatServer.Close)
	plainServer := httptest.NewServer(harness.plain)
	t.Cleanup(plainServer.Close)
	store, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 256})
	assert.NilError(t, err)
	harness.store = store
	l, peers := listen(t), listen(t)
	harness.base = "http://" + l.Addr().String()
	config := newConfig(t, store, peers, []value.BackendServer{
		{ID: "e-1", Address: chatServer.URL, Pool: "engines", Versions: []value.VersionKey{"drafting-llm/small"}, State: value.ServerLive},
		{ID: "p-1", Address: plainServer.URL, Pool: "desk", State: value.ServerLive},
	})
	config.ShutdownGrace = grace
	harness.node, err = node.New(config)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	harness.stop = stop
	go func() { harness.ended <- harness.node.Run(ctx, l) }()
	t.Cleanup(stop)
	assert.NilError(t, harness.node.Do(ctx, cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: testDocument(), Digest: "d", Revision: 1}}))
	awaitState(t, harness.node, func(s state.State) bool { return s.Servers().Len() == 2 })
	return harness
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func newConfig(t *testing.T, store plat.Store, peers net.Listener, servers []value.BackendServer) node.Config {
	t.Helper()
	runner, err := engine.NewHTTP(engine.HTTPConfig{DialTimeout: time.Second, IdleConnections: 4})
	assert.NilError(t, err)
	signer, err := front.NewSigner(bytes.Repeat([]byte("k"), 32))
	assert.NilError(t, err)
	sum := sha256.Sum256([]byte(apiKey))
	return node.Config{
		Self:          value.Instance{ID: "i-1", FailureDomain: "guj-a", State: value.InstanceLive},
		Environment:   "trial",
		Keys:          map[string]value.AccountName{hex.EncodeToString(sum[:]): "ward-12"},
		Signer:        signer,
		Runner:        runner,
		Store:         store,
		StoreRates:    node.StoreRates{Reads: 100, Writes: 100},
		List:          plat.StaticList{ListedServers: servers},
		Peers:         node.Peers{Listener: peers},
		Log:           zap.NewNop(),
		ShutdownGrace: time.Minute,
	}
}

// awaitState returns once the node's control state satisfies the condition.
func awaitState(t *testing.T, n *node.Node, condition func(state.State) bool) {
	t.Helper()
	for {
		s, changed := n.Watch()
		if condition(s) {
			return
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatal("control state did not satisfy the condition before the test ended")
		}
	}
}

// stopAndReadBilled stops the node and returns the requests that its bills charge.
func (h *nodeHarness) stopAndReadBilled(t *testing.T) []value.RequestID {
	t.Helper()
	h.stop()
	assert.NilError(t, <-h.ended)
	segments, err := bills.ReadSegments(t.Context(), h.store)
	assert.NilError(t, err)
	var charged []value.RequestID
	for _, b := range query.Reconcile(segments, nil).Charges {
		charged = append(charged, b.Request)
	}
	return charged
}

func testDocument() value.Document {
	return value.Document{
		ClientAccounts: []value.ClientAccount{{
			Name: "ward-12", Share: 1,
			Versions: []value.VersionKey{"drafting-llm/small"},
			Kinds:    []value.KindName{"spelling", "reorder"},
		}},
		Models: []value.Model{{Name: "drafting-llm", Versions: []value.Version{{Name: "small", OutputMicros: 1000, Quality: 0.9, Pool: "engines"}}}},
		Kinds: []value.Kind{
			{Name: "spelling", Model: "drafting-llm", QualityTarget: 0.8, Priority: value.PriorityInteractive, Idempotent: true, Deadline: time.Minute, MaxTokens: 100, MaxAttempts: 2},
			{Name: "reorder", Service: "reorder-desk", Priority: value.PriorityInteractive, Deadline: time.Minute},
		},
		Pools:    []value.Pool{{Name: "engines", MaxInFlight: 8}, {Name: "desk", MaxInFlight: 8}},
		Services: []value.Service{{Name: "reorder-desk", Pool: "desk"}},
		Limits:   value.Limits{QueueLength: 16},
	}
}

func newChatClient(harness *nodeHarness) openai.Client {
	return openai.NewClient(
		option.WithAPIKey(apiKey),
		option.WithBaseURL(harness.base+"/v1/"),
		option.WithHeader("Endivehitch-Kind", "spelling"),
		option.WithMaxRetries(0),
	)
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "auto",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("thali")},
	}
}

func TestClientLibraryGetsCompleteStreamedAnswer(t *testing.T) {
	harness := startNode(t)
	client := newChatClient(harness)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, acc.Choices[0].Message.Content, "small on drafting-llm/small answers: thali")
	assert.Equal(t, acc.Choices[0].FinishReason, "stop")
	assert.Equal(t, len(harness.stopAndReadBilled(t)), 1)
}

func TestClientLibraryGetsCompleteAnswer(t *testing.T) {
	harness := startNode(t)
	client := newChatClient(harness)
	answer, err := client.Chat.Completions.New(t.Context(), chatParams())
	assert.NilError(t, err)
	assert.Equal(t, answer.Choices[0].Message.Content, "small on drafting-llm/small answers: thali")
	assert.Equal(t, len(harness.stopAndReadBilled(t)), 1)
}

func TestTruncatedStreamEndsInErrorAndIsNotBilled(t *testing.T) {
	harness := startNode(t)
	harness.chat.SetFault(fakes.FaultTruncate)
	client := newChatClient(harness)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	for stream.Next() {
	}
	assert.Assert(t, stream.Err() != nil, "the caller must learn that the answer is incomplete")
	assert.Equal(t, len(harness.stopAndReadBilled(t)), 0)
}

func TestReorderRunsOnceWhenItsAnswerIsLost(t *testing.T) {
	harness := startNode(t)
	harness.plain.SetFault(fakes.FaultReset)
	status, body := send(t, harness, "POST", "/v1/services/reorder-desk/orders", "reorder", "k-1", "40 menus")
	assert.Equal(t, status, http.StatusBadGateway, body)
	harness.plain.SetFault(fakes.FaultNone)
	status, body = send(t, harness, "POST", "/v1/services/reorder-desk/orders", "reorder", "k-1", "40 menus")
	assert.Equal(t, status, http.StatusConflict)
	assert.Assert(t, strings.Contains(body, "OutcomeUnknown"), body)
	assert.Equal(t, harness.plain.Effects()["40 menus"], 1)
}

func TestReorderWithoutKeyIsRefused(t *testing.T) {
	harness := startNode(t)
	status, body := send(t, harness, "POST", "/v1/services/reorder-desk/orders", "reorder", "", "40 menus")
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Assert(t, strings.Contains(body, "IdempotencyKeyRequired"), body)
	assert.Equal(t, len(harness.plain.Effects()), 0)
}

func TestShutdownFinishesRequestInFlight(t *testing.T) {
	harness := startNode(t)
	client := newChatClient(harness)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	assert.Assert(t, stream.Next())
	text := stream.Current().Choices[0].Delta.Content
	harness.stop()
	for stream.Next() {
		if len(stream.Current().Choices) > 0 {
			text += stream.Current().Choices[0].Delta.Content
		}
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text, "small on drafting-llm/small answers: thali")
	assert.NilError(t, <-harness.ended)
	_, err := http.Get(harness.base + "/ready")
	var dialError *net.OpError
	assert.Assert(t, errors.As(err, &dialError), "a stopped instance must not accept connections")
}

func TestShutdownReportsRequestThatOutlastsTheGrace(t *testing.T) {
	harness := startNodeWithGrace(t, 200*time.Millisecond)
	harness.chat.SetFault(fakes.FaultStall)
	client := newChatClient(harness)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	assert.Assert(t, stream.Next())
	harness.stop()
	for stream.Next() {
		continue
	}
	assert.Assert(t, stream.Err() != nil, "the part of an answer must not pass for the whole")
	assert.ErrorIs(t, <-harness.ended, context.DeadlineExceeded)
}

func TestMetricsCountAnswersRefusalsAndBills(t *testing.T) {
	harness := startNode(t)
	status, body := send(t, harness, "POST", "/v1/services/reorder-desk/orders", "reorder", "k-1", "40 menus")
	assert.Equal(t, status, http.StatusOK, body)
	status, body = send(t, harness, "POST", "/v1/services/reorder-desk/orders", "reorder", "", "40 menus")
	assert.Equal(t, status, http.StatusBadRequest, body)
	harness.stop()
	assert.NilError(t, <-harness.ended)
	w := httptest.NewRecorder()
	harness.node.Metrics().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`endivehitch_answers_total{kind="reorder"} 1`,
		`endivehitch_bills_total{outcome="Kept"} 1`,
		`endivehitch_bills_unsafe 0`,
		`endivehitch_refusals_total{not_run="true",reason="IdempotencyKeyRequired"} 1`,
		`endivehitch_control_events_total{what="InstanceLeaving"} 1`,
	} {
		assert.Assert(t, strings.Contains(w.Body.String(), line+"\n"), "%s is not in:\n%s", line, w.Body)
	}
}

// send sends a request to the node and returns the status and the body of the response; an empty
// key sends no idempotency key.
func send(t *testing.T, harness *nodeHarness, method, path, kind, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, harness.base+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Endivehitch-Kind", kind)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(answer)
}

func TestRefusalStatesWhetherRequestRan(t *testing.T) {
	harness := startNode(t)
	harness.chat.SetFault(fakes.FaultReset)
	status, body := send(t, harness, "POST", "/v1/chat/completions", "spelling", "", `{"messages":[{"role":"user","content":"x"}]}`)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Assert(t, strings.Contains(body, `"NotRun":false`), body)
	status, body = send(t, harness, "POST", "/v1/chat/completions", "no-such-kind", "", `{"messages":[{"role":"user","content":"x"}]}`)
	assert.Equal(t, status, http.StatusForbidden)
	assert.Assert(t, strings.Contains(body, `"NotRun":true`), body)
}
