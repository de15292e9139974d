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

// Demo returns the command that shows the system at work on one machine.
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
				return exit.UsageError{What: "demo takes no arguments"}
			}
			return demo(ctx, c.Root().Writer, c.Bool("stay"))
		},
	}
}

// stage is what the demo's instances share.
type stage struct {
	out      io.Writer
	store    plat.Store
	settings conf.Settings
	signer   *front.Signer
	runner   engine.Runner
	engines  *engines
	members  []member
	// ready takes one message from each instance that has the document in force.
	ready chan struct{}
}

func demo(ctx context.Context, out io.Writer, stay bool) error {
	engines := startEngines()
	defer engines.close()
	s, err := newStage(zapcore.Lock(zapcore.AddSync(out)), engines)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	for _, m := range s.members {
		g.Go(func() error { return m.run(gctx) })
	}
	g.Go(func() error {
		defer stop()
		if err := s.play(gctx); err != nil {
			return err
		}
		return s.stay(gctx, stay)
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return s.audit(context.WithoutCancel(ctx))
}

// audit reads the bills that the instances have left in the key-value service.
func (s *stage) audit(ctx context.Context) error {
	segments, err := bills.Read(ctx, s.store)
	if err != nil {
		return fmt.Errorf("read bills: %w", err)
	}
	charged := query.Reconcile(segments, nil).Charges
	return s.say("%d requests were answered and %d billed; the repeated reorder took effect once", len(demoAsks), len(charged))
}

func newStage(out io.Writer, e *engines) (*stage, error) {
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
		return nil, fmt.Errorf("make signer: %w", err)
	}
	s := &stage{
		out:     out,
		store:   store,
		signer:  signer,
		runner:  runner,
		engines: e,
		ready:   make(chan struct{}, demoInstances),
		settings: conf.Settings{
			Callers:   map[string]value.AccountName{conf.HashKey(demoCallerKey): demoAccount},
			Operators: map[string]string{conf.HashKey(demoOperatorKey): "demo"},
			Servers:   e.listed,
		},
	}
	for i := range demoInstances {
		m, err := s.member(i)
		if err != nil {
			return nil, err
		}
		s.members = append(s.members, m)
	}
	s.introduce()
	return s, nil
}

// introduce lists all instances to each one.
func (s *stage) introduce() {
	list := plat.Fixed{ListedServers: s.settings.Servers}
	for _, m := range s.members {
		i := m.node.Self
		i.PeerAddress = m.node.Peers.Listener.Addr().String()
		list.ListedInstances = append(list.ListedInstances, i)
	}
	for i := range s.members {
		s.members[i].node.List = list
	}
}

func (s *stage) member(i int) (member, error) {
	var at [3]net.Listener
	for k := range at {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return member{}, fmt.Errorf("listen: %w", err)
		}
		at[k] = l
	}
	id := value.InstanceID(fmt.Sprintf("demo-%d", i+1))
	return member{
		node: node.Config{
			Self:        value.Instance{ID: id, FailureDomain: demoDomains[i%len(demoDomains)], State: value.InstanceLive},
			Environment: demoEnvironment,
			Keys:        s.settings.Callers,
			Signer:      s.signer,
			Runner:      s.runner,
			Store:       s.store,
			Rates:       node.Rates{Reads: defaultReads, Writes: defaultWrites},
			Peers:       node.Peers{Listener: at[2]},
			Log:         logs.New(s.out, zapcore.InfoLevel).Named(string(id)),
			Seed:        uint64(i),
			Grace:       demoGrace,
		},
		settings:  s.settings,
		callers:   at[0],
		operators: at[1],
		installed: sync.OnceFunc(func() { s.ready <- struct{}{} }),
	}, nil
}

// play applies the document, waits until it is in force everywhere and sends the requests.
func (s *stage) play(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	order := cmds.ApplyOrder{Environment: demoEnvironment, Change: value.ChangeID(uuid.NewString()), Document: demoDocument}
	applied, err := cmds.SendApply(ctx, s.operator(0), order)
	if err != nil {
		return fmt.Errorf("apply document: %w", err)
	}
	for range s.members {
		select {
		case <-s.ready:
		case <-ctx.Done():
			return fmt.Errorf("await document: %w", ctx.Err())
		}
	}
	if err := s.say("the document with digest %.12s is in force at all %d instances", applied.Change.Digest, len(s.members)); err != nil {
		return err
	}
	return s.requests(ctx)
}

// stay tells how to reach the instances and waits until the context ends, if asked to.
func (s *stage) stay(ctx context.Context, stay bool) error {
	if !stay {
		return nil
	}
	for i, m := range s.members {
		if err := s.say("%s: callers %s, operators %s", m.node.Self.ID, s.caller(i), s.operator(i).Base); err != nil {
			return err
		}
	}
	if err := s.say("callers' key %s, operators' key %s; stop with SIGINT", demoCallerKey, demoOperatorKey); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (s *stage) caller(i int) string {
	return "http://" + s.members[i].callers.Addr().String()
}

func (s *stage) operator(i int) route.Client {
	return newOperator("http://" + s.members[i].operators.Addr().String())
}

func (s *stage) say(format string, args ...any) error {
	if _, err := fmt.Fprintf(s.out, "== "+format+"\n", args...); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
