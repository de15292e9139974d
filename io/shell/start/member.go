package start

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"endivehitch/core/cmds"
	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/admin"
	"endivehitch/io/conf"
	"endivehitch/io/node"
	"endivehitch/io/plat"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 30 * time.Second
	stopTimeout       = 2 * time.Second
	// firstDelay and mostDelay space the attempts to read the document while the key-value service is away.
	firstDelay = 250 * time.Millisecond
	mostDelay  = 10 * time.Second
)

// member is one instance with its faces and what keeps its document in force.
type member struct {
	node        node.Config
	store       plat.Store
	environment value.Environment
	settings    conf.Settings
	callers     net.Listener
	operators   net.Listener
	// installed, if set, is told of each document in force.
	installed func(value.Accepted)
}

// run serves until the context ends and requests in flight are finished.
func (m member) run(ctx context.Context) error {
	n, err := node.New(m.node)
	if err != nil {
		return fmt.Errorf("make instance: %w", err)
	}
	face, err := m.face(n)
	if err != nil {
		return err
	}
	follower, err := m.follower(n)
	if err != nil {
		return err
	}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Run(gctx, m.callers) })
	g.Go(func() error { return m.serveOperators(gctx, face) })
	g.Go(func() error { return follower.Run(gctx) })
	g.Go(func() error { return m.sync(gctx, n) })
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run instance %s: %w", m.node.Self.ID, err)
	}
	return nil
}

// sync makes the backend servers of the settings known.
func (m member) sync(ctx context.Context, n *node.Node) error {
	err := n.Do(ctx, cmds.SyncServers{Servers: m.settings.Servers})
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("list backend servers: %w", err)
	}
	return nil
}

func (m member) face(n *node.Node) (*admin.Admin, error) {
	face, err := admin.New(admin.Config{
		Operators: m.settings.Operators,
		Store:     m.store,
		Snapshot:  n.Snapshot,
		Now:       time.Now,
		Decisions: n.Decisions,
	})
	if err != nil {
		return nil, fmt.Errorf("make operators' face: %w", err)
	}
	return face, nil
}

func (m member) follower(n *node.Node) (*conf.Follower, error) {
	backoff := policy.Backoff{First: firstDelay, Limit: mostDelay}
	rnd := rand.New(rand.NewPCG(m.node.Seed, 0))
	f, err := conf.NewFollower(conf.FollowerConfig{
		From:        m.store,
		Environment: m.environment,
		Install:     func(ctx context.Context, c conf.Changes) error { return m.install(ctx, n, c) },
		Failed:      func(err error) { m.node.Log.Warn("ConfigNotRead", zap.Error(err)) },
		Delay:       func(failures int) time.Duration { return backoff.WithFailures(failures - 1).Delay(rnd) },
	})
	if err != nil {
		return nil, fmt.Errorf("make follower: %w", err)
	}
	return f, nil
}

// install puts changes in force that the key-value service keeps.
func (m member) install(ctx context.Context, n *node.Node, c conf.Changes) error {
	if c.Accepted.Revision > 0 {
		if err := n.Do(ctx, cmds.InstallConfig{Accepted: c.Accepted}); err != nil {
			return err
		}
		if m.installed != nil {
			m.installed(c.Accepted)
		}
	}
	for _, p := range c.RollOuts {
		if err := n.Do(ctx, cmds.InstallProgress{Progress: p}); err != nil {
			return err
		}
	}
	for _, w := range c.Withdrawals {
		if err := n.Do(ctx, cmds.InstallWithdrawal{Withdrawal: w}); err != nil {
			return err
		}
	}
	return nil
}

func (m member) serveOperators(ctx context.Context, face *admin.Admin) error {
	server := &http.Server{
		Handler:           face.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
	l := m.operators
	if m.node.TLS != nil {
		l = tls.NewListener(l, m.node.TLS)
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve operators: %w", err)
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := server.Shutdown(stopping); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop operators' face: %w", err)
	}
	return nil
}
