package feeds

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/value"
	"endivehitch/io/peer"
)

type tallyArgs struct{}

type orderArgs struct{}

var (
	sinceMethod = peer.Method[Ask, relay.Feed]{Name: "Since"}
	tallyMethod = peer.Method[tallyArgs, []relay.Tally]{Name: "Tallies"}
	orderMethod = peer.Method[orderArgs, []relay.OrderAge]{Name: "OrderAges"}
)

// Offer serves what this instance knows to others.
func Offer(r peer.Registrar, control Control, tallies func() []relay.Tally, now func() time.Time) error {
	err := sinceMethod.Serve(r, func(a Ask) (relay.Feed, error) {
		return since(control, a, now), nil
	})
	if err != nil {
		return fmt.Errorf("offer news: %w", err)
	}
	err = tallyMethod.Serve(r, func(tallyArgs) ([]relay.Tally, error) { return tallies(), nil })
	if err != nil {
		return fmt.Errorf("offer tallies: %w", err)
	}
	err = orderMethod.Serve(r, func(orderArgs) ([]relay.OrderAge, error) { return control.Snapshot().OrderAges(now()), nil })
	if err != nil {
		return fmt.Errorf("offer order ages: %w", err)
	}
	return nil
}

// since waits until there is something newer than the revision.
func since(control Control, a Ask, now func() time.Time) relay.Feed {
	timer := time.NewTimer(min(a.Wait, watchWait))
	defer timer.Stop()
	for {
		s, changed := control.Watch()
		if s.Revision > a.Revision {
			return told(s, Bounded(s.Since(a.Revision), a), now())
		}
		select {
		case <-changed:
		case <-timer.C:
			return told(s, relay.Feed{After: a.Revision, Revision: a.Revision}, now())
		}
	}
}

// mostTold is how many changes an instance sends in one answer that wasn't asked for in bulk: what the
// followers of one reader together get is bounded by its own link, while the store has a wide one.
const mostTold = 128

// Bounded returns the feed, or in its place that it is too much for the asking instance.
func Bounded(f relay.Feed, a Ask) relay.Feed {
	if a.Bulk || (!f.Whole && len(f.Changes) <= mostTold) {
		return f
	}
	return relay.Feed{TooMuch: true, After: a.Revision, Revision: a.Revision}
}

// told adds what the instance itself knows of the store.
func told(s relay.State, f relay.Feed, now time.Time) relay.Feed {
	f.Away = !s.Away.IsZero()
	if !s.Back.IsZero() {
		f.Back = now.Sub(s.Back)
	}
	if !s.Served.IsZero() {
		// An answer of this very moment must not look like none.
		f.Served = max(1, now.Sub(s.Served))
	}
	return f
}

// Net asks other instances over the peers' connections.
type Net struct {
	// Client holds the connections.
	Client *peer.Client
}

// Since asks the instance at the address for what follows a revision.
func (n Net) Since(ctx context.Context, address string, a Ask) (relay.Feed, error) {
	feed, err := sinceMethod.Call(ctx, n.Client, instanceAt(address), a)
	if err == nil && feed.Revision == 0 {
		return relay.Feed{}, errNothing
	}
	return feed, err
}

// Tallies asks the instance at the address for its tallies.
func (n Net) Tallies(ctx context.Context, address string) ([]relay.Tally, error) {
	return tallyMethod.Call(ctx, n.Client, instanceAt(address), tallyArgs{})
}

// OrderAges asks the instance at the address how old the roll-outs' orders are.
func (n Net) OrderAges(ctx context.Context, address string) ([]relay.OrderAge, error) {
	return orderMethod.Call(ctx, n.Client, instanceAt(address), orderArgs{})
}

var errNothing = errors.New("the instance knows nothing yet")

func instanceAt(address string) value.Instance {
	return value.Instance{ID: value.InstanceID(address), PeerAddress: address}
}
