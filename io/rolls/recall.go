package rolls

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
	// recallPause is the time between two instances that are asked, and recallMost bounds how many are.
	recallPause = 100 * time.Millisecond
	recallMost  = 8
)

// Witnesses asks other instances how old the orders of roll-outs are.
type Witnesses interface {
	// Sightings asks the instance at the address.
	Sightings(ctx context.Context, address string) ([]relay.Sighting, error)
}

// Recaller learns the age of orders that were given before this instance started.
type Recaller struct {
	Peers   Witnesses
	Control feeds.Control
}

// Run asks others whenever there is an order of unknown age, until the context ends.
func (r Recaller) Run(ctx context.Context) error {
	asked := int64(0)
	for {
		s, changed := r.Control.Watch()
		if s.Unwitnessed() && newest(s) > asked {
			asked = newest(s)
			if err := r.recall(ctx); err != nil {
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

// newest is the revision of the last order.
func newest(s relay.State) int64 {
	last := int64(0)
	for _, p := range s.Plans() {
		last = max(last, p.Order.Revision)
	}
	return last
}

// recall asks instances in a random order until one has seen the orders being given; after a loss of
// all instances none has, and the start of the release's servers is all there is to go by.
func (r Recaller) recall(ctx context.Context) error {
	members := r.Control.Snapshot().Members()
	for n, i := range rand.Perm(len(members)) {
		s := r.Control.Snapshot()
		if n >= recallMost || !s.Unwitnessed() || ctx.Err() != nil {
			return nil
		}
		if members[i].Name == s.Self.Name {
			continue
		}
		told, err := r.ask(ctx, members[i])
		if err != nil {
			// An instance that is gone can't tell; the next one is asked.
			clock.Passed(ctx, recallPause)
			continue
		}
		if err := r.Control.Do(ctx, cmds.Recall{Sightings: told, From: string(members[i].Name)}); err != nil && ctx.Err() == nil {
			return fmt.Errorf("change control state: %w", err)
		}
	}
	return nil
}

func (r Recaller) ask(ctx context.Context, m relay.Member) ([]relay.Sighting, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return r.Peers.Sightings(ctx, m.Address)
}
