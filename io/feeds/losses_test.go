package feeds_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/feeds"
)

// lossBoard holds the losses that one instance knows.
type lossBoard struct {
	feeds.Reports
	mu      sync.Mutex
	reports []relay.ServerReport
	updates chan struct{}
}

func (b *lossBoard) FreshReports() []relay.ServerReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reports
}

func (b *lossBoard) MergeReports(reports []relay.ServerReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.reports) == 0 && len(reports) > 0 {
		b.reports = reports
		b.updates <- struct{}{}
	}
}

func (b *lossBoard) LossUpdates() <-chan struct{} { return b.updates }

// lossNetwork connects the boards by the addresses of their instances.
type lossNetwork map[string]*lossBoard

func (n lossNetwork) ExchangeReports(_ context.Context, address string, reports []relay.ServerReport) ([]relay.ServerReport, error) {
	n[address].MergeReports(reports)
	return n[address].FreshReports(), nil
}

// Guards against a loss of a server that only those hear of that call one another for changes: while the store is down, nobody
// does, and a server that came back cold got the traffic of a warm one.
func TestLossReachesTheFleetWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, feed := make(lossNetwork), relay.Feed{Whole: true, Revision: 1}
		for i := range 80 {
			name := fmt.Sprint("n", i)
			network[name] = &lossBoard{updates: make(chan struct{}, 1)}
			feed.Changes = append(feed.Changes, relay.Change{Key: name, Revision: 1, Entry: relay.Entry{Member: &relay.Member{Name: relay.MemberName(name), Address: name}}})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var spreaders sync.WaitGroup
		for name, board := range network {
			state := relay.New(relay.Member{Name: relay.MemberName(name), Address: name}).WithFeed(feed, time.Now(), 0)
			spreaders.Go(func() {
				_ = feeds.LossGossip{Losses: board, Peers: network, Snapshot: func() relay.State { return state }}.Run(ctx)
			})
		}
		network["n7"].MergeReports([]relay.ServerReport{{Server: "s", Lost: true}})
		time.Sleep(1500 * time.Millisecond)
		known := 0
		for _, board := range network {
			known += len(board.FreshReports())
		}
		cancel()
		spreaders.Wait()
		assert.Assert(t, known >= 78, "%d of 80 instances know", known)
	})
}
