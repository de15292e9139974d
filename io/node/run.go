package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/cmds"
	"endivehitch/io/flow"
	"endivehitch/io/httpd"
	"endivehitch/io/intake"
	"endivehitch/io/stats"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	// flushPendingTimeout limits the last writes of an instance that leaves.
	flushPendingTimeout = 10 * time.Second
	// reportInterval and reportBatchSize limit the rate at which load reports are read,
	// independently of the number of backend servers.
	reportInterval  = time.Second
	reportBatchSize = 4
)

// Run serves callers on the listener until the context ends. It then lets requests in flight finish
// and stores their bills and the ends of their claims.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	// The control loop and the RPC connections must outlive ctx, because requests in flight still
	// need them.
	parent, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, controlCtx := errgroup.WithContext(parent)
	n.startComponents(controlCtx, g)
	n.startDuties(ctx, controlCtx, g)
	g.Go(func() error {
		defer stop()
		return errors.Join(n.serve(ctx, controlCtx, l), n.flushPending(controlCtx))
	})
	err := g.Wait()
	n.components.guard.Close()
	n.components.biller.Close()
	n.components.client.Close()
	err = errors.Join(err, n.stats.Close())
	if err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}

// startComponents starts the control loop and the components that run until the last request is
// done.
func (n *Node) startComponents(ctx context.Context, g *errgroup.Group) {
	components := n.components
	g.Go(func() error {
		n.control.loop.Run(ctx)
		return nil
	})
	g.Go(func() error {
		n.dispatchEffects()
		return nil
	})
	g.Go(func() error { return components.server.Serve(ctx, n.config.Peers.Listener) })
	g.Go(func() error { return ignoreIfCancelled(ctx, components.gossip.Run(ctx)) })
	g.Go(func() error {
		components.biller.Run(ctx)
		return nil
	})
	g.Go(func() error {
		n.flow.Follow(ctx, n.control.Watch)
		return nil
	})
	g.Go(func() error { return n.stats.Run(ctx, n.metricSources()) })
	if n.config.Reporter != nil {
		g.Go(func() error {
			n.flow.Poll(ctx, flow.PollConfig{Reporter: n.config.Reporter, Interval: reportInterval, BatchSize: reportBatchSize})
			return nil
		})
	}
	syncer := &serverSyncer{list: n.config.List, control: n.control, log: n.config.Log}
	g.Go(func() error { return syncer.run(ctx) })
}

// metricSources returns the components whose counts the metrics sample.
func (n *Node) metricSources() stats.Sources {
	return stats.Sources{
		Snapshot:        n.control.Snapshot,
		Usage:           n.components.store.Usage,
		WaitingRequests: n.flow.Waiting,
		UnsettledClaims: n.components.guard.Unsettled,
		UnsafeBills:     n.components.biller.UnsafeCount,
	}
}

// startDuties starts the work on roll-outs. Leases and their duties end with ctx, before requests
// in flight are finished; the persister and the collector run until controlCtx ends.
func (n *Node) startDuties(ctx, controlCtx context.Context, g *errgroup.Group) {
	d := n.duties
	g.Go(func() error { return d.persister.Run(controlCtx) })
	g.Go(func() error { return d.collector.Run(controlCtx) })
	serving, stop := context.WithCancel(ctx)
	context.AfterFunc(controlCtx, stop)
	g.Go(func() error { return ignoreIfCancelled(serving, d.runner.Run(serving)) })
}

// ignoreIfCancelled returns nil if the context has ended, and the error otherwise.
func ignoreIfCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serve serves callers until ctx or controlCtx ends, and then lets the instance leave.
func (n *Node) serve(ctx, controlCtx context.Context, l net.Listener) error {
	server, err := httpd.New(httpd.ServerConfig{EndCause: errInstanceEnds, HTTP: &http.Server{
		Handler:           n.front.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// The server would answer OPTIONS * by itself, and its head would not be counted.
		DisableGeneralOptionsHandler: true,
	}})
	if err != nil {
		return fmt.Errorf("create front end server: %w", err)
	}
	l = n.intake.Listen(l, intake.ListenerConfig{
		HeadBytes: func() int { return maxHeaderBytes }, HeadTime: readHeaderTimeout, Encrypted: n.config.TLS != nil,
	})
	if n.config.TLS != nil {
		l = tls.NewListener(l, n.config.TLS)
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(controlCtx, stop)()
	return httpd.ServeUntil(serving, server, l, func(s *httpd.Server) error { return n.leave(controlCtx, s) })
}

// errInstanceEnds is the cause with which requests are cancelled that outlast the grace period.
var errInstanceEnds = errors.New("the instance ends")

// leave marks the instance as leaving and waits for requests in flight, at most for the grace
// period, and for the notice to the other instances.
func (n *Node) leave(controlCtx context.Context, server *httpd.Server) error {
	if err := n.Do(controlCtx, cmds.Leave{}); err != nil {
		return err
	}
	defer n.components.gossip.AwaitDepartureNotice(controlCtx)
	graceful, cancel := context.WithTimeout(controlCtx, n.config.ShutdownGrace)
	defer cancel()
	if err := errors.Join(server.Drain(graceful), graceful.Err()); err != nil {
		return fmt.Errorf("finish requests in flight: %w", err)
	}
	return nil
}

// flushPending waits until the ends of all claims are recorded, and writes this instance's bills and those
// that it holds for others.
func (n *Node) flushPending(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushPendingTimeout)
	defer cancel()
	if err := n.components.guard.Drain(ctx); err != nil {
		return fmt.Errorf("record ends of claims: %w", err)
	}
	if err := n.components.biller.Flush(ctx); err != nil {
		return fmt.Errorf("flush bills: %w", err)
	}
	if err := n.components.biller.HandOver(ctx); err != nil {
		return fmt.Errorf("write held copies of bills: %w", err)
	}
	return nil
}
