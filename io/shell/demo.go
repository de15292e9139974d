package shell

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap/zapcore"

	"endivehitch/core/cmds"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/fakes"
	"endivehitch/io/front"
	"endivehitch/io/logs"
	"endivehitch/io/node"
)

const (
	demoKey   = "demo-key"
	demoGrace = 5 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run an instance on an embedded platform and send requests through it",
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo(ctx, c.Root().Writer)
		},
	}
}

func demo(ctx context.Context, out io.Writer) error {
	cheap := httptest.NewServer(&fakes.Chat{Name: "cheap"})
	defer cheap.Close()
	best := httptest.NewServer(&fakes.Chat{Name: "best"})
	defer best.Close()
	runner, err := engine.NewHTTP(engine.HTTPConfig{DialTimeout: time.Second, IdleConnections: 16})
	if err != nil {
		return err
	}
	signer, err := front.NewSigner(bytes.Repeat([]byte("demo"), 8))
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(demoKey))
	n, err := node.New(node.Config{
		Self:   value.Instance{ID: "demo-1", FailureDomain: "guj-a", State: value.InstanceLive},
		Keys:   map[string]value.AccountName{hex.EncodeToString(sum[:]): "ward-12"},
		Signer: signer,
		Runner: runner,
		Biller: &fakes.Bills{},
		Guard:  &fakes.Guard{},
		Log:    logs.New(out, zapcore.InfoLevel),
		Grace:  demoGrace,
	})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, l) }()
	err = n.Do(ctx, cmds.InstallConfig{Accepted: value.Accepted{Document: demoDocument(), Digest: "demo", Revision: 1}})
	if err == nil {
		err = n.Do(ctx, cmds.SyncServers{Servers: []value.BackendServer{
			{ID: "cheap-1", Address: cheap.URL, Pool: "cheap", Versions: []value.VersionKey{"drafting-llm/small"}, State: value.ServerLive},
			{ID: "best-1", Address: best.URL, Pool: "best", Versions: []value.VersionKey{"drafting-llm/large"}, State: value.ServerLive},
		}})
	}
	for _, kind := range []string{"spelling", "menu-draft"} {
		for _, stream := range []string{"false", "true"} {
			if err == nil {
				err = ask(ctx, out, "http://"+l.Addr().String(), kind, stream)
			}
		}
	}
	stop()
	if runErr := <-ended; err == nil {
		err = runErr
	}
	return err
}

func ask(ctx context.Context, out io.Writer, base, kind, stream string) error {
	body := `{"model":"auto","stream":` + stream + `,"messages":[{"role":"user","content":"one thali two rotlo"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	req.Header.Set("Endivehitch-Kind", kind)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	_, err = fmt.Fprintf(out, "%s (%s): %s\n%s\n", kind, resp.Header.Get("Endivehitch-Version"), resp.Status, answer)
	return err
}

func demoDocument() value.Document {
	return value.Document{
		Name: "demo",
		ClientAccounts: []value.ClientAccount{{
			Name:     "ward-12",
			Share:    1,
			Versions: []value.VersionKey{"drafting-llm/small", "drafting-llm/large"},
			Kinds:    []value.KindName{"spelling", "menu-draft"},
		}},
		Models: []value.Model{{Name: "drafting-llm", Versions: []value.Version{
			{Name: "small", InputMicros: 100, OutputMicros: 300, Quality: 0.8, Pool: "cheap"},
			{Name: "large", InputMicros: 1000, OutputMicros: 3000, Quality: 0.97, Pool: "best"},
		}}},
		Kinds: []value.Kind{
			{Name: "spelling", Model: "drafting-llm", QualityTarget: 0.75, Priority: value.PriorityInteractive, Idempotent: true, Deadline: 10 * time.Second, MaxTokens: 256, MaxAttempts: 3},
			{Name: "menu-draft", Model: "drafting-llm", QualityTarget: 0.95, Priority: value.PriorityDraft, Idempotent: true, Deadline: time.Minute, MaxTokens: 2048, MaxAttempts: 3},
		},
		Pools: []value.Pool{{Name: "cheap", MaxInFlight: 8}, {Name: "best", MaxInFlight: 8}},
	}
}
