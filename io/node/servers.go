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

// listInterval is the time between two reads of the list of backend servers. A server that leaves
// gets no new requests once this time and the delay of the list itself have passed.
const listInterval = time.Second

// serverSyncer applies changes of the platform's list of backend servers to the control state.
type serverSyncer struct {
	list    plat.InstanceList
	control *controlLoop
	log     *zap.Logger
	last    []value.BackendServer
}

// run reads the list periodically until the context ends. While the list can't be read, the servers
// from the last successful read stay in use.
func (s *serverSyncer) run(ctx context.Context) error {
	for {
		if err := s.sync(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn("ServersNotRead", zap.Error(err))
		}
		if !clock.WaitFully(ctx, listInterval) {
			return nil
		}
	}
}

// sync reads the list once and updates the control state if the list has changed, or if a server has to stay listed as live
// before it gets work again.
func (s *serverSyncer) sync(ctx context.Context) error {
	servers, err := s.list.Servers(ctx)
	if err != nil {
		return err
	}
	if slices.EqualFunc(servers, s.last, isSameServer) && s.control.Snapshot().RejoiningServers() == 0 {
		return nil
	}
	if err := s.control.Do(ctx, cmds.SyncServers{Servers: servers}); err != nil {
		return err
	}
	s.last = servers
	return nil
}

func isSameServer(a, b value.BackendServer) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Pool == b.Pool && a.State == b.State &&
		a.FailureDomain == b.FailureDomain && slices.Equal(a.Versions, b.Versions)
}
