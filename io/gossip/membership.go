package gossip

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/peer"
)

const (
	listTimeout = 5 * time.Second
	// listReadsPerMembershipFetch is how many reads of the instance list there are for each fetch of a
	// peer's complete membership list.
	listReadsPerMembershipFetch = 20
	// commandTimeout bounds how long an RPC handler waits for the control loop.
	commandTimeout = 5 * time.Second
)

// membership runs the membership protocol for one instance: probes, membership updates and reads of
// the platform's instance list.
type membership struct {
	Config
	rnd *lockedRand
	// listRead is closed after the first attempt to read the instance list.
	listRead chan struct{}
}

func (m *membership) serve(r peer.Registrar) error {
	return errors.Join(
		pingMethod.Serve(r, m.handlePing),
		probeMethod.Serve(r, m.handleProbe),
		membershipListMethod.Serve(r, m.handleMembershipList),
		statusMethod.Serve(r, m.handleStatus),
	)
}

func (m *membership) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.runEvery(ctx, m.Timing.Period, m.probeNext) })
	g.Go(func() error { return m.followInstanceList(ctx) })
	return g.Wait()
}

// runEvery calls work once per period. The first call comes after a random part of the period, so
// that the calls of different instances are spread over it.
func (m *membership) runEvery(ctx context.Context, period time.Duration, work func(context.Context) error) error {
	timer := time.NewTimer(time.Duration(m.rnd.IntN(int(period))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		timer.Reset(period)
		if err := work(ctx); err != nil {
			return err
		}
	}
}

// followInstanceList reads the instance list at once and then at every interval; after the first
// read and after every listReadsPerMembershipFetch further reads, it fetches a peer's membership
// list.
func (m *membership) followInstanceList(ctx context.Context) error {
	reads := 0
	readOnce := func(ctx context.Context) error {
		if err := m.syncInstanceList(ctx); err != nil {
			return err
		}
		if reads%listReadsPerMembershipFetch == 0 {
			m.fetchMembershipList(ctx)
		}
		reads++
		return nil
	}
	if err := readOnce(ctx); err != nil {
		return err
	}
	close(m.listRead)
	return m.runEvery(ctx, m.ListInterval, readOnce)
}

func (m *membership) syncInstanceList(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.List.Instances(bounded)
	if err != nil {
		// Without the list, membership still works: instances learn of each other by gossip.
		return nil
	}
	if err := m.Control.Do(ctx, cmds.SyncInstances{Instances: list}); err != nil {
		return fmt.Errorf("apply instance list: %w", err)
	}
	return nil
}

// fetchMembershipList fetches one peer's complete membership list. A failure is ignored, because
// the next fetch makes up for it.
func (m *membership) fetchMembershipList(ctx context.Context) {
	to, ok := query.ProbeTarget(m.Control.Snapshot(), m.Timing, m.rnd, time.Now())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	reply, err := membershipListMethod.Call(ctx, m.Caller, to, wireRoll{})
	if err != nil {
		return
	}
	_ = m.Control.Do(ctx, cmds.ReceiveMessage{From: reply.From.value(), Updates: decodeUpdates(reply.News), IsMembershipList: true})
}

// sendDepartureNotice pings all instances of the view at once; the ping carries this instance's
// leaving state.
func (m *membership) sendDepartureNotice(ctx context.Context) {
	m.pingAll(ctx, query.View(m.Control.Snapshot(), m.Timing, time.Now()))
}

// pushConfig pings a few instances of the view at once; the ping carries the revision in force
// here, and a receiver that has an older one pulls it.
func (m *membership) pushConfig(ctx context.Context) {
	m.pingAll(ctx, query.PushTargets(m.Control.Snapshot(), m.Timing, m.rnd, time.Now()))
}

func (m *membership) pingAll(ctx context.Context, to []value.Instance) {
	var g sync.WaitGroup
	for _, i := range to {
		// Later probes make up for a ping that is lost.
		g.Go(func() { _ = m.ping(ctx, i) })
	}
	g.Wait()
}

// receive applies another instance's gossip message to the control state.
func (m *membership) receive(ctx context.Context, p wirePing) error {
	if err := m.Control.Do(ctx, cmds.ReceiveMessage{From: p.From.value(), Updates: decodeUpdates(p.News)}); err != nil {
		return fmt.Errorf("apply gossip message: %w", err)
	}
	return nil
}
