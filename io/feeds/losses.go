package feeds

import (
	"context"
	"slices"

	"endivehitch/core/relay"
	"endivehitch/io/clock"
)

// LossGossip spreads losses of backend servers by gossip, within the load reports. The calls for changes carry them too, but
// not from instances that read the store themselves or can't reach it.
type LossGossip struct {
	Losses   Losses
	Peers    LossPeers
	Snapshot func() relay.State
}

// Run spreads losses until the context ends.
func (g LossGossip) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-g.Losses.LossUpdates():
		case <-ctx.Done():
			return nil
		}
		for range spreadRounds {
			for _, address := range randomAddresses(g.Snapshot(), spreadFanOut) {
				g.exchange(ctx, address)
			}
			clock.WaitFully(ctx, spreadInterval)
		}
	}
	return nil
}

// exchange sends this instance's reports to the instance at the address, and merges its answer.
func (g LossGossip) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := g.Peers.ExchangeReports(ctx, address, withoutLoadOnly(g.Losses.FreshReports()))
	if err != nil {
		// An instance that does not answer learns the update from others.
		return
	}
	g.Losses.MergeReports(answer)
}

// withoutLoadOnly returns the reports that say more than a server's load. Loads travel with the calls for changes, and would
// make up most of the bytes of a message between failure domains.
func withoutLoadOnly(reports []relay.ServerReport) []relay.ServerReport {
	return slices.DeleteFunc(reports, relay.ServerReport.IsLoadOnly)
}
