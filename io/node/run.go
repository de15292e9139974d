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
	"endivehitch/io/stats"
)

const (
	headerBytes       = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	// settleTimeout bounds the last writes of an instance that leaves.
	settleTimeout = 10 * time.Second
	// reportEvery and reportBatch bound the reading of load reports, whatever the fleet's size.
	reportEvery = time.Second
	reportBatch = 4
)

// Run serves callers on the listener until the context ends, then lets requests in flight finish
// and makes what they left last.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	// The control loop and the peers outlive the context: requests in flight still need them.
	control, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, gctx := errgroup.WithContext(control)
	n.startParts(gctx, g)
	n.startDuties(ctx, gctx, g)
	g.Go(func() error {
		defer stop()
		return errors.Join(n.serve(ctx, gctx, l), n.settle(gctx))
	})
	err := g.Wait()
	n.parts.guard.Close()
	n.parts.biller.Close()
	n.parts.client.Close()
	err = errors.Join(err, n.stats.Close())
	if err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}

func (n *Node) startParts(ctx context.Context, g *errgroup.Group) {
	p := n.parts
	g.Go(func() error {
		n.control.loop.Run(ctx)
		return nil
	})
	g.Go(func() error {
		n.work()
		return nil
	})
	g.Go(func() error { return p.server.Serve(ctx, n.config.Peers.Listener) })
	g.Go(func() error { return ended(ctx, p.gossip.Run(ctx)) })
	g.Go(func() error {
		p.biller.Run(ctx)
		return nil
	})
	g.Go(func() error {
		n.flow.Follow(ctx, n.control.Watch)
		return nil
	})
	g.Go(func() error { return n.stats.Run(ctx, n.sources()) })
	if n.config.Reporter != nil {
		g.Go(func() error {
			n.flow.Poll(ctx, flow.PollConfig{From: n.config.Reporter, Every: reportEvery, Batch: reportBatch})
			return nil
		})
	}
	servers := &lister{list: n.config.List, control: n.control, log: n.config.Log}
	g.Go(func() error { return servers.run(ctx) })
}

// sources are the parts whose counts the metrics sample.
func (n *Node) sources() stats.Sources {
	return stats.Sources{
		Snapshot:  n.control.Snapshot,
		Usage:     n.parts.store.Usage,
		Waiting:   n.flow.Waiting,
		Unsettled: n.parts.guard.Unsettled,
		Unsafe:    n.parts.biller.Unsafe,
	}
}

// startDuties starts the work for roll-outs; duties end with the context, before requests in flight do.
func (n *Node) startDuties(ctx, control context.Context, g *errgroup.Group) {
	d := n.duties
	g.Go(func() error { return d.keeper.Run(control) })
	g.Go(func() error { return d.feeder.Run(control) })
	serving, stop := context.WithCancel(ctx)
	context.AfterFunc(control, stop)
	g.Go(func() error { return ended(serving, d.runner.Run(serving)) })
}

// ended drops the error of a part that ended with its context.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
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
	serving, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(control, stop)()
	return httpd.Until(serving, server, l, func(s *http.Server) error { return n.leave(control, s) })
}

// leave lets requests in flight finish.
func (n *Node) leave(control context.Context, server *http.Server) error {
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

// settle records the ends of claims and flushes the bills before the instance goes.
func (n *Node) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := n.parts.guard.Drain(ctx); err != nil {
		return fmt.Errorf("settle claims: %w", err)
	}
	if err := n.parts.biller.Flush(ctx); err != nil {
		return fmt.Errorf("flush bills: %w", err)
	}
	return nil
}
