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

// partBoard holds the parts that one instance knows.
type partBoard struct {
	mu      sync.Mutex
	parts   []relay.PartReport
	updates chan struct{}
}

func (b *partBoard) PartReports() []relay.PartReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.parts
}

func (b *partBoard) MergePartReports(reports []relay.PartReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.parts) == 0 && len(reports) > 0 {
		b.parts = reports
		b.updates <- struct{}{}
	}
}

func (b *partBoard) PartUpdates() <-chan struct{} { return b.updates }

// partNetwork connects the boards by the addresses of their instances; calls between those that are cut off and the
// others fail.
type partNetwork struct {
	boards map[string]*partBoard
	cut    map[string]bool
}

func (n partNetwork) ExchangeParts(_ context.Context, address string, reports []relay.PartReport) ([]relay.PartReport, error) {
	if n.cut[address] {
		return nil, feeds.ErrStoreUnreachable
	}
	n.boards[address].MergePartReports(reports)
	return n.boards[address].PartReports(), nil
}

// Guards against a part that stays unknown to some instances while the store, and with it every reader, is lost and
// some instances are gone: each instance would let it crash servers.
func TestPartNewsReachesTheFleetWithoutTheStore(t *testing.T) {
	const instances, limit = 200, 2500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := partNetwork{boards: make(map[string]*partBoard), cut: make(map[string]bool)}
		var feed relay.Feed
		for n := range instances {
			m := member(fmt.Sprint("i", n), fmt.Sprint("d", n%5))
			feed.Changes = append(feed.Changes, relay.Change{Key: m.Address, Revision: 1, Entry: relay.Entry{Member: &m}})
			network.boards[m.Address] = &partBoard{updates: make(chan struct{}, 1)}
			network.cut[m.Address] = n%10 == 9
		}
		feed.Whole, feed.Revision = true, 1
		for _, c := range feed.Changes {
			state := relay.New(*c.Entry.Member).WithFeed(feed, time.Now(), 0)
			spreader := feeds.Spreader{Records: network.boards[c.Key], Peers: network, Snapshot: func() relay.State { return state }}
			go func() { assert.Check(t, spreader.Run(ctx)) }()
		}
		network.boards["i0"].MergePartReports([]relay.PartReport{{Part: "deadly"}})
		time.Sleep(limit)
		for address, board := range network.boards {
			assert.Check(t, network.cut[address] || len(board.PartReports()) == 1, "%s does not know the part", address)
		}
		cancel()
		synctest.Wait()
	})
}
