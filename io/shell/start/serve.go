package start

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"endivehitch/core/intake"
	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/engine"
	"endivehitch/io/logs"
	"endivehitch/io/node"
	"endivehitch/io/plat"
	"endivehitch/io/shell/exit"
	"endivehitch/io/strict"
)

const (
	dialTimeout           = time.Second
	idleConnections       = 64
	historyEvents         = 4096
	responseHeaderTimeout = 5 * time.Second
)

// Serve returns the command that runs one instance.
func Serve() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one instance until SIGTERM or SIGINT",
		Description: "Without a platform the instance keeps everything in memory, for trying out.\n" +
			"After SIGTERM it takes no new requests and lets those in flight finish.\n\n" +
			"Example: endivehitch serve --document examples/vadodara.yaml --settings examples/settings.yaml",
		Flags: serveFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return exit.UsageError{Message: "serve takes no arguments"}
			}
			o, err := readOptions(c)
			if err != nil {
				return err
			}
			return serve(ctx, o, c.Root().Writer)
		},
	}
}

// environmentVariable returns the name of the environment variable that sets the flag.
func environmentVariable(flag string) string {
	return "ENDIVEHITCH_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func serve(ctx context.Context, o options, out io.Writer) error {
	store, err := openStore(o.platform)
	if err != nil {
		return err
	}
	if o.document != "" {
		if err := applyInitialDocument(ctx, store, o); err != nil {
			return err
		}
	}
	if o.intake.memory > 0 {
		debug.SetMemoryLimit(int64(float64(o.intake.memory) * intake.HeapFraction))
	}
	runner, err := newRunner()
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", o.callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", o.operators)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	peers, err := net.Listen("tcp", o.peers)
	if err != nil {
		return fmt.Errorf("listen for other instances: %w", err)
	}
	return instance{
		node: node.Config{
			Self:          o.self,
			Environment:   o.environment,
			Keys:          o.settings.Callers,
			Signer:        o.signer,
			Runner:        runner,
			Reporter:      runner,
			Store:         store,
			StoreRates:    o.rates,
			List:          plat.StaticList{ListedServers: o.settings.Servers, ListedInstances: o.settings.Instances},
			Peers:         node.Peers{Listener: peers, Server: o.peerTLS.server, Client: o.peerTLS.client},
			Log:           logs.New(out, o.level),
			Seed:          xxhash.Sum64String(string(o.self.ID)),
			TLS:           o.tls,
			ShutdownGrace: o.grace,
			Intake:        o.intake.limits.Within(o.intake.memory, o.intake.files),
		},
		settings:  o.settings,
		callers:   callers,
		operators: operators,
	}.run(ctx)
}

func newRunner() (*engine.HTTP, error) {
	runner, err := engine.NewHTTP(engine.HTTPConfig{DialTimeout: dialTimeout, IdleConnections: idleConnections})
	if err != nil {
		return nil, fmt.Errorf("create client of backend servers: %w", err)
	}
	return runner, nil
}

// openStore returns a client of the platform's key-value service, or an embedded store if the
// platform's address is empty.
func openStore(platform string) (plat.Store, error) {
	if platform == "" {
		store, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: historyEvents})
		if err != nil {
			return nil, fmt.Errorf("create embedded store: %w", err)
		}
		return store, nil
	}
	// A watch's response stays open without limit, so only the wait for a response's headers has a
	// timeout.
	client := strict.NewClient(&http.Transport{ResponseHeaderTimeout: responseHeaderTimeout})
	store, err := plat.NewEtcd(plat.EtcdConfig{Base: platform, Client: client})
	if err != nil {
		return nil, fmt.Errorf("create client of the platform's key-value service: %w", err)
	}
	return store, nil
}

// applyInitialDocument applies the document that the flags name to an embedded store.
func applyInitialDocument(ctx context.Context, store plat.Store, o options) error {
	data, err := os.ReadFile(o.document)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	order := cmds.ApplyOrder{Environment: o.environment, Change: value.ChangeID(uuid.NewString()), Document: data}
	if _, err := cmds.Apply(ctx, cmds.Config{Store: store, Now: time.Now}, "serve", order); err != nil {
		return fmt.Errorf("apply %s:\n%w", o.document, err)
	}
	return nil
}
