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

// member is one instance with its faces.
type member struct {
	node      node.Config
	settings  conf.Settings
	callers   net.Listener
	operators net.Listener
	// installed, if set, is told of each configuration that has come into force.
	installed func()
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
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Run(gctx, m.callers) })
	g.Go(func() error { return m.serveOperators(gctx, face) })
	g.Go(func() error {
		m.tell(gctx, n)
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run instance %s: %w", m.node.Self.ID, err)
	}
	return nil
}

// tell reports each document that comes into force together with the backend servers that serve it.
func (m member) tell(ctx context.Context, n *node.Node) {
	for m.installed != nil {
		s, changed := n.Watch()
		if s.Config.Revision > 0 && s.Servers().Len() > 0 {
			m.installed()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (m member) face(n *node.Node) (*admin.Admin, error) {
	face, err := admin.New(admin.Config{
		Operators: m.settings.Operators,
		Readers:   m.settings.Readers,
		Metrics:   n.Metrics(),
		Store:     n.Store(),
		Snapshot:  n.Snapshot,
		Now:       time.Now,
		Fleet:     n.Survey,
		Decisions: n.Find,
	})
	if err != nil {
		return nil, fmt.Errorf("make operators' face: %w", err)
	}
	return face, nil
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
	return httpd.Until(ctx, server, l, func(s *http.Server) error {
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if err := s.Shutdown(stopping); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("stop operators' face: %w", err)
		}
		return nil
	})
}
