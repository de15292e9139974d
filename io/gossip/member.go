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
	// rollEvery is how many reads of the instance list pass between reads of a peer's whole membership.
	rollEvery = 20
	// commandTimeout bounds how long a handler waits for the control loop.
	commandTimeout = 5 * time.Second
)

// member is one instance's part in the membership protocol.
type member struct {
	Config
	rnd *source
	// listed is closed once the instance list has been asked for the first time.
	listed chan struct{}
}

func (m *member) serve(r peer.Registrar) error {
	return errors.Join(
		methodPing.Serve(r, m.answerPing),
		methodProbe.Serve(r, m.answerProbe),
		methodRoll.Serve(r, m.answerRoll),
		methodWhere.Serve(r, m.answerWhere),
	)
}

func (m *member) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.every(ctx, m.Timing.Period, m.round) })
	g.Go(func() error { return m.readList(ctx) })
	return g.Wait()
}

// every spreads the rounds of different instances over the period.
func (m *member) every(ctx context.Context, period time.Duration, round func(context.Context) error) error {
	timer := time.NewTimer(time.Duration(m.rnd.IntN(int(period))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		timer.Reset(period)
		if err := round(ctx); err != nil {
			return err
		}
	}
}

func (m *member) readList(ctx context.Context) error {
	reads := 0
	read := func(ctx context.Context) error {
		if err := m.takeList(ctx); err != nil {
			return err
		}
		if reads%rollEvery == 0 {
			m.readRoll(ctx)
		}
		reads++
		return nil
	}
	if err := read(ctx); err != nil {
		return err
	}
	close(m.listed)
	return m.every(ctx, m.ListEvery, read)
}

func (m *member) takeList(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.List.Instances(bounded)
	if err != nil {
		// A list that is away changes nothing: instances tell of each other.
		return nil
	}
	if err := m.Control.Do(ctx, cmds.SyncInstances{Instances: list}); err != nil {
		return fmt.Errorf("take in instance list: %w", err)
	}
	return nil
}

// readRoll learns from one peer what it knows of all others; a failure is mended by the next read.
func (m *member) readRoll(ctx context.Context) {
	to, ok := query.ProbeTarget(m.Control.Snapshot(), m.Timing, m.rnd, time.Now())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	roll, err := methodRoll.Call(ctx, m.Caller, to, wireRoll{})
	if err != nil {
		return
	}
	_ = m.Control.Do(ctx, cmds.ReceiveMessage{From: roll.From.value(), Updates: decodeNews(roll.News), IsMembershipList: true})
}

// bid tells the whole view at once that the instance is leaving.
func (m *member) bid(ctx context.Context) {
	m.tell(ctx, query.View(m.Control.Snapshot(), m.Timing, time.Now()))
}

// push tells a few instances at once of the configuration that is in force here.
func (m *member) push(ctx context.Context) {
	m.tell(ctx, query.PushTargets(m.Control.Snapshot(), m.Timing, m.rnd, time.Now()))
}

func (m *member) tell(ctx context.Context, to []value.Instance) {
	var g sync.WaitGroup
	for _, i := range to {
		// What is lost is repaired by the next probes.
		g.Go(func() { _ = m.ping(ctx, i) })
	}
	g.Wait()
}

func (m *member) hear(ctx context.Context, p wirePing) error {
	if err := m.Control.Do(ctx, cmds.ReceiveMessage{From: p.From.value(), Updates: decodeNews(p.News)}); err != nil {
		return fmt.Errorf("take in message: %w", err)
	}
	return nil
}
