package start

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/io/admin"
	"endivehitch/io/conf"
	"endivehitch/io/httpd"
	"endivehitch/io/node"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 30 * time.Second
	stopTimeout       = 2 * time.Second
)

// instance is the configuration of one instance with its listeners for callers and operators.
type instance struct {
	node      node.Config
	settings  conf.Settings
	callers   net.Listener
	operators net.Listener
	// onConfigReady, if set, is called, possibly more than once, while a configuration is in force and
	// backend servers are known.
	onConfigReady func()
}

// run serves callers and operators until the context ends, and then lets requests in flight finish.
func (i instance) run(ctx context.Context) error {
	n, err := node.New(i.node)
	if err != nil {
		return fmt.Errorf("create instance: %w", err)
	}
	api, err := i.newAPI(n)
	if err != nil {
		return err
	}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Run(gctx, i.callers) })
	g.Go(func() error { return i.serveOperators(gctx, api) })
	g.Go(func() error {
		i.watchConfig(gctx, n)
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run instance %s: %w", i.node.Self.ID, err)
	}
	return nil
}

// watchConfig calls onConfigReady for the present state and after each change of it, if a
// configuration is in force and backend servers are known.
func (i instance) watchConfig(ctx context.Context, n *node.Node) {
	for i.onConfigReady != nil {
		snapshot, changed := n.Watch()
		if snapshot.Config.Revision > 0 && snapshot.Servers().Len() > 0 {
			i.onConfigReady()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (i instance) newAPI(n *node.Node) (*admin.Admin, error) {
	api, err := admin.New(admin.Config{
		Operators: i.settings.Operators,
		Readers:   i.settings.Readers,
		Metrics:   n.Metrics(),
		Store:     n.Store(),
		Snapshot:  n.Snapshot,
		Now:       time.Now,
		Fleet:     n.QueryStatus,
		Decisions: n.FindDecisions,
	})
	if err != nil {
		return nil, fmt.Errorf("create operators' API: %w", err)
	}
	return api, nil
}

func (i instance) serveOperators(ctx context.Context, api *admin.Admin) error {
	server := &http.Server{
		Handler:           api.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
	listener := i.operators
	if i.node.TLS != nil {
		listener = tls.NewListener(listener, i.node.TLS)
	}
	return httpd.ServeUntil(ctx, server, listener, func(s *http.Server) error {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		// Requests that are still open after stopTimeout don't keep the instance from stopping.
		if err := s.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("stop operators' API: %w", err)
		}
		return nil
	})
}
