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
	// agePause is the time between two instances that are asked, and ageMost bounds how many are.
	agePause = 100 * time.Millisecond
	ageMost  = 8
)

// AgeTeller asks other instances how old the orders of roll-outs are.
type AgeTeller interface {
	// OrderAges asks the instance at the address.
	OrderAges(ctx context.Context, address string) ([]relay.OrderAge, error)
}

// AgeLearner learns the age of orders that were given before this instance started.
type AgeLearner struct {
	Peers   AgeTeller
	Control feeds.Control
}

// Run asks others whenever there is an order of unknown age, until the context ends.
func (r AgeLearner) Run(ctx context.Context) error {
	asked := int64(0)
	for {
		s, changed := r.Control.Watch()
		if s.AgeUnknown() && newest(s) > asked {
			asked = newest(s)
			if err := r.learn(ctx); err != nil {
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

// learn asks instances in a random order until one has seen the orders being given; after a loss of
// all instances none has, and the start of the release's servers is all there is to go by.
func (r AgeLearner) learn(ctx context.Context) error {
	members := r.Control.Snapshot().Members()
	for n, i := range rand.Perm(len(members)) {
		s := r.Control.Snapshot()
		if n >= ageMost || !s.AgeUnknown() || ctx.Err() != nil {
			return nil
		}
		if members[i].Name == s.Self.Name {
			continue
		}
		told, err := r.ask(ctx, members[i])
		if err != nil {
			// An instance that is gone can't tell; the next one is asked.
			clock.Passed(ctx, agePause)
			continue
		}
		if err := r.Control.Do(ctx, cmds.LearnAges{OrderAges: told, From: string(members[i].Name)}); err != nil && ctx.Err() == nil {
			return fmt.Errorf("change control state: %w", err)
		}
	}
	return nil
}

func (r AgeLearner) ask(ctx context.Context, m relay.Member) ([]relay.OrderAge, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return r.Peers.OrderAges(ctx, m.Address)
}
