package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"endivehitch/core/cmds"
	"endivehitch/core/loop"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
	"endivehitch/io/front"
	"endivehitch/io/logs"
)

const (
	mailboxCommands   = 1024
	bodyBytes         = 4 << 20
	headerBytes       = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 30 * time.Second
	requestsInFlight  = 4096
	decisionsKept     = 8192
)

// Config sets up a Node.
type Config struct {
	Self   value.Instance
	Keys   map[string]value.AccountName
	Signer *front.Signer
	Runner engine.Runner
	Biller flow.Biller
	Guard  flow.Guard
	Log    *zap.Logger
	Seed   uint64
	// TLS, if set, is used towards callers.
	TLS *tls.Config
	// Grace is how long requests in flight may take once the node leaves.
	Grace time.Duration
}

// Node is one instance of the system.
type Node struct {
	config Config
	loop   *loop.Loop[state.State, state.Effect]
	flow   *flow.Flow
	front  *front.Front
	record *logs.Recorder
}

// New returns a node that is not yet running.
func New(c Config) (*Node, error) {
	if c.Log == nil {
		return nil, errors.New("node: no logger")
	}
	l, err := loop.New(loop.Config[state.State, state.Effect]{
		Initial: state.New(c.Self),
		Now:     time.Now,
		Mailbox: mailboxCommands,
	})
	if err != nil {
		return nil, fmt.Errorf("make control loop: %w", err)
	}
	record, err := logs.NewRecorder(logs.RecorderConfig{Log: c.Log, Keep: decisionsKept})
	if err != nil {
		return nil, fmt.Errorf("make recorder: %w", err)
	}
	f, err := flow.New(flow.Config{
		Snapshot: l.Snapshot,
		Runner:   c.Runner,
		Biller:   c.Biller,
		Guard:    c.Guard,
		Record:   record.Record,
		Now:      time.Now,
		Seed:     c.Seed,
	})
	if err != nil {
		return nil, fmt.Errorf("make request flow: %w", err)
	}
	face, err := front.New(front.Config{
		Server:   f,
		Snapshot: l.Snapshot,
		Keys:     c.Keys,
		Signer:   c.Signer,
		Now:      time.Now,
		Limits: front.Limits{
			BodyBytes: bodyBytes,
			ReadTime:  readTimeout,
			WriteTime: writeTimeout,
			InFlight:  requestsInFlight,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("make callers' face: %w", err)
	}
	return &Node{config: c, loop: l, flow: f, front: face, record: record}, nil
}

// Do applies a command to the control state and returns once it is published.
func (n *Node) Do(ctx context.Context, c loop.Command[state.State, state.Effect]) error {
	if err := n.loop.Do(ctx, c); err != nil {
		return fmt.Errorf("apply command: %w", err)
	}
	return nil
}

// Snapshot returns the control state of the moment.
func (n *Node) Snapshot() state.State {
	return n.loop.Snapshot()
}

// Decisions returns the kept decisions about the request, the first one first.
func (n *Node) Decisions(id value.RequestID) []value.Decision {
	return n.record.Of(id)
}

// Run serves callers on the listener until the context ends, then lets requests in flight finish.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	// The control loop outlives the context: requests in flight still need it.
	control, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, gctx := errgroup.WithContext(control)
	g.Go(func() error {
		n.loop.Run(gctx)
		return nil
	})
	g.Go(func() error {
		n.flow.Follow(gctx, n.loop.Watch)
		return nil
	})
	g.Go(func() error {
		n.work()
		return nil
	})
	g.Go(func() error {
		defer stop()
		return n.serve(ctx, gctx, l)
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}

// work carries out the control loop's effects.
func (n *Node) work() {
	for e := range n.loop.Effects() {
		switch e := e.(type) {
		case state.Decided:
			n.config.Log.Info(e.What, zap.String("Subject", e.Subject), zap.String("Reason", string(e.Reason)))
		case state.Announce:
			n.config.Log.Info("ConfigAnnounced", zap.Int64("Revision", e.Config.Revision))
		}
	}
}

func (n *Node) serve(ctx, control context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           n.front.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	if n.config.TLS != nil {
		l = tls.NewListener(l, n.config.TLS)
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	if err := n.Do(control, cmds.Leave{}); err != nil {
		return err
	}
	graceful, cancel := context.WithTimeout(control, n.config.Grace)
	defer cancel()
	if err := server.Shutdown(graceful); err != nil {
		return fmt.Errorf("finish requests in flight: %w", err)
	}
	return nil
}
