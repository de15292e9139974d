package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"endivehitch/core/cmds"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/plat"
)

// listEvery is the time between two readings of the list of backend servers; a server that leaves
// gets no new work after the list's own lag and this time.
const listEvery = time.Second

// lister keeps the control state in step with the platform's list of backend servers.
type lister struct {
	list    plat.InstanceList
	control *control
	log     *zap.Logger
	last    []value.BackendServer
}

// run reads the list until the context ends; while the list is away the last reading stays in force.
func (l *lister) run(ctx context.Context) error {
	for {
		if err := l.read(ctx); err != nil && ctx.Err() == nil {
			l.log.Warn("ServersNotRead", zap.Error(err))
		}
		if !clock.Passed(ctx, listEvery) {
			return nil
		}
	}
}

func (l *lister) read(ctx context.Context) error {
	servers, err := l.list.Servers(ctx)
	if err != nil {
		return err
	}
	if slices.EqualFunc(servers, l.last, sameServer) {
		return nil
	}
	if err := l.control.Do(ctx, cmds.SyncServers{Servers: servers}); err != nil {
		return err
	}
	l.last = servers
	return nil
}

func sameServer(a, b value.BackendServer) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Pool == b.Pool && a.State == b.State &&
		a.FailureDomain == b.FailureDomain && slices.Equal(a.Versions, b.Versions)
}
