package canary

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cmds"
	"endivehitch/io/clock"
	"endivehitch/io/feeds"
)

const (
	// askPause is the pause after an instance that did not answer, before the next one is asked.
	askPause = 100 * time.Millisecond
	// maxAsked bounds how many instances are asked for the age of an order.
	maxAsked = 8
)

// AgeSource requests the ages of roll-out orders from other instances.
type AgeSource interface {
	// OrderAges requests the ages from the instance at the address.
	OrderAges(ctx context.Context, address string) ([]relay.OrderAge, error)
}

// AgeLearner finds out the age of roll-out orders that were given while this instance was not running or
// not connected to the store.
type AgeLearner struct {
	Peers   AgeSource
	Control feeds.Control
}

// Run asks other instances whenever there is a new order of unknown age, until the context ends.
func (l AgeLearner) Run(ctx context.Context) error {
	askedRevision := int64(0)
	for {
		s, changed := l.Control.Watch()
		if s.HasUnknownOrderAge() && newestOrder(s) > askedRevision {
			askedRevision = newestOrder(s)
			if err := l.askInstances(ctx); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// newestOrder returns the revision of the newest order.
func newestOrder(s relay.State) int64 {
	newest := int64(0)
	for _, rollOut := range s.RollOuts() {
		newest = max(newest, rollOut.Order.Revision)
	}
	return newest
}

// askInstances asks instances in random order until no order of unknown age is left. If all instances
// were restarted, none of them knows the age, which is then estimated by the start of the release's
// servers.
func (l AgeLearner) askInstances(ctx context.Context) error {
	members := l.Control.Snapshot().Members()
	for n, i := range rand.Perm(len(members)) {
		s := l.Control.Snapshot()
		if n >= maxAsked || !s.HasUnknownOrderAge() || ctx.Err() != nil {
			return nil
		}
		if members[i].Name == s.Self.Name {
			continue
		}
		ages, err := l.orderAges(ctx, members[i])
		if err != nil {
			// The instance may have departed; the next one is asked.
			clock.WaitFully(ctx, askPause)
			continue
		}
		if err := l.Control.Do(ctx, cmds.ApplyOrderAges{OrderAges: ages, From: string(members[i].Name)}); err != nil && ctx.Err() == nil {
			return fmt.Errorf("change control state: %w", err)
		}
	}
	return nil
}

// orderAges requests the order ages of one instance.
func (l AgeLearner) orderAges(ctx context.Context, instance relay.Member) ([]relay.OrderAge, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return l.Peers.OrderAges(ctx, instance.Address)
}
