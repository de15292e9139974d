package feeds

import (
	"context"

	"endivehitch/core/relay"
	"endivehitch/io/clock"
)

// LossSpreader spreads losses of backend servers by gossip, with the reports of which they are a part. The calls for changes
// carry them too, but not from instances that read the store themselves or can't reach it.
type LossSpreader struct {
	Losses   Losses
	Peers    LossPeers
	Snapshot func() relay.State
}

// Run spreads losses until the context ends.
func (s LossSpreader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-s.Losses.LossNews():
		case <-ctx.Done():
			return nil
		}
		for range spreadRounds {
			for _, address := range randomAddresses(s.Snapshot(), spreadFanOut) {
				s.exchange(ctx, address)
			}
			clock.WaitFully(ctx, spreadInterval)
		}
	}
	return nil
}

func (s LossSpreader) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := s.Peers.ExchangeReports(ctx, address, s.Losses.FreshReports())
	if err != nil {
		// An instance that does not answer learns the news from others.
		return
	}
	s.Losses.MergeReports(answer)
}
