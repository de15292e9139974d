package start

import (
	"bytes"
	"context"
	_ "embed" // The demo's document is part of the program.
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/admin/route"
	"endivehitch/io/bills"
	"endivehitch/io/conf"
	"endivehitch/io/engine"
	"endivehitch/io/front"
	"endivehitch/io/logs"
	"endivehitch/io/node"
	"endivehitch/io/plat"
	"endivehitch/io/shell/exit"
)

//go:embed demo.yaml
var demoDocument []byte

const (
	demoInstances   = 3
	demoCallerKey   = "demo-caller-key"
	demoOperatorKey = "demo-operator-key"
	demoAccount     = value.AccountName("ward-alkapuri")
	demoEnvironment = value.Environment("trial")
	demoGrace       = 5 * time.Second
	demoTimeout     = 30 * time.Second
)

var demoDomains = []value.FailureDomain{"guj-a", "guj-b", "guj-c"}

// Demo returns the command that runs a small fleet on one machine and sends it some requests.
func Demo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three instances with stand-in engines on loopback and send requests through them",
		Description: "Needs no arguments and no network but loopback. Prints the answers, one JSON line for each\n" +
			"decision, and an explanation of one request.\n\n" +
			"Example: endivehitch demo\n" +
			"With --stay the instances go on until SIGINT, so that status, apply and explain can be tried on them.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "stay", Usage: "go on serving after the requests", Sources: cli.EnvVars("ENDIVEHITCH_STAY")},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return exit.UsageError{Message: "demo takes no arguments"}
			}
			return demo(ctx, c.Root().Writer, c.Bool("stay"))
		},
	}
}

// demoFleet holds the demo's instances and what they share.
type demoFleet struct {
	out       io.Writer
	store     plat.Store
	settings  conf.Settings
	signer    *front.Signer
	runner    engine.Runner
	servers   *fakeServers
	instances []instance
	// ready receives one value from each instance once it has the document in force.
	ready chan struct{}
}

func demo(ctx context.Context, out io.Writer, stay bool) error {
	servers := startFakeServers()
	defer servers.close()
	f, err := newDemoFleet(zapcore.Lock(zapcore.AddSync(out)), servers)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	for _, inst := range f.instances {
		g.Go(func() error { return inst.run(gctx) })
	}
	g.Go(func() error {
		defer stop()
		if err := f.applyAndSend(gctx); err != nil {
			return err
		}
		return f.waitIfAsked(gctx, stay)
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return f.audit(context.WithoutCancel(ctx))
}

// audit prints how many requests were answered, and for how many of them the key-value service has a
// bill.
func (f *demoFleet) audit(ctx context.Context) error {
	segments, err := bills.ReadSegments(ctx, f.store)
	if err != nil {
		return fmt.Errorf("read bills: %w", err)
	}
	charged := query.Reconcile(segments, nil).Charges
	return f.printHeading("%d requests were answered and %d billed; the repeated reorder took effect once", len(demoRequests), len(charged))
}

func newDemoFleet(out io.Writer, servers *fakeServers) (*demoFleet, error) {
	store, err := openStore("")
	if err != nil {
		return nil, err
	}
	runner, err := newRunner()
	if err != nil {
		return nil, err
	}
	signer, err := front.NewSigner(bytes.Repeat([]byte("demo"), 8))
	if err != nil {
		return nil, fmt.Errorf("create signer: %w", err)
	}
	f := &demoFleet{
		out:     out,
		store:   store,
		signer:  signer,
		runner:  runner,
		servers: servers,
		ready:   make(chan struct{}, demoInstances),
		settings: conf.Settings{
			Callers:   map[string]value.AccountName{conf.HashKey(demoCallerKey): demoAccount},
			Operators: map[string]string{conf.HashKey(demoOperatorKey): "demo"},
			Servers:   servers.backends,
		},
	}
	for i := range demoInstances {
		inst, err := f.newInstance(i)
		if err != nil {
			return nil, err
		}
		f.instances = append(f.instances, inst)
	}
	f.setInstanceLists()
	return f, nil
}

// setInstanceLists gives each instance the list of all instances and backend servers.
func (f *demoFleet) setInstanceLists() {
	list := plat.StaticList{ListedServers: f.settings.Servers}
	for _, inst := range f.instances {
		self := inst.node.Self
		self.PeerAddress = inst.node.Peers.Listener.Addr().String()
		list.ListedInstances = append(list.ListedInstances, self)
	}
	for i := range f.instances {
		f.instances[i].node.List = list
	}
}

func (f *demoFleet) newInstance(i int) (instance, error) {
	// The listeners for callers, operators and peers.
	var listeners [3]net.Listener
	for k := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return instance{}, fmt.Errorf("listen: %w", err)
		}
		listeners[k] = l
	}
	id := value.InstanceID(fmt.Sprintf("demo-%d", i+1))
	return instance{
		node: node.Config{
			Self:          value.Instance{ID: id, FailureDomain: demoDomains[i%len(demoDomains)], State: value.InstanceLive},
			Environment:   demoEnvironment,
			Keys:          f.settings.Callers,
			Signer:        f.signer,
			Runner:        f.runner,
			Store:         f.store,
			StoreRates:    node.StoreRates{Reads: defaultReadRate, Writes: defaultWriteRate},
			Peers:         node.Peers{Listener: listeners[2]},
			Log:           logs.New(f.out, zapcore.InfoLevel).Named(string(id)),
			Seed:          uint64(i),
			ShutdownGrace: demoGrace,
		},
		settings:      f.settings,
		callers:       listeners[0],
		operators:     listeners[1],
		onConfigReady: sync.OnceFunc(func() { f.ready <- struct{}{} }),
	}, nil
}

// applyAndSend applies the document, waits until it is in force everywhere and sends the requests.
func (f *demoFleet) applyAndSend(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	order := cmds.ApplyOrder{Environment: demoEnvironment, Change: value.ChangeID(uuid.NewString()), Document: demoDocument}
	applied, err := cmds.SendApply(ctx, f.operatorClient(0), order)
	if err != nil {
		return fmt.Errorf("apply document: %w", err)
	}
	for range f.instances {
		select {
		case <-f.ready:
		case <-ctx.Done():
			return fmt.Errorf("wait until the document is in force at all instances: %w", ctx.Err())
		}
	}
	if err := f.printHeading("the document with digest %.12s is in force at all %d instances", applied.Change.Digest, len(f.instances)); err != nil {
		return err
	}
	return f.sendRequests(ctx)
}

// waitIfAsked prints the instances' addresses and keys and waits until the context ends. Without
// stay it returns at once.
func (f *demoFleet) waitIfAsked(ctx context.Context, stay bool) error {
	if !stay {
		return nil
	}
	for i, inst := range f.instances {
		if err := f.printHeading("%s: callers %s, operators %s", inst.node.Self.ID, f.callerURL(i), f.operatorClient(i).Base); err != nil {
			return err
		}
	}
	if err := f.printHeading("callers' key %s, operators' key %s; stop with SIGINT", demoCallerKey, demoOperatorKey); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (f *demoFleet) callerURL(i int) string {
	return "http://" + f.instances[i].callers.Addr().String()
}

func (f *demoFleet) operatorClient(i int) route.Client {
	return newOperatorClient("http://" + f.instances[i].operators.Addr().String())
}

func (f *demoFleet) printHeading(format string, args ...any) error {
	if _, err := fmt.Fprintf(f.out, "== "+format+"\n", args...); err != nil {
		return fmt.Errorf("print heading: %w", err)
	}
	return nil
}
