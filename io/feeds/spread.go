package feeds

import (
	"context"
	"math/rand/v2"
	"time"

	"endivehitch/core/relay"
	"endivehitch/io/clock"
)

const (
	// spreadRounds is for how many rounds an instance passes on an update, spreadFanOut to how many others in each, and
	// spreadInterval the time between rounds. The number of instances that know it triples in each round.
	spreadRounds   = 4
	spreadFanOut   = 2
	spreadInterval = 250 * time.Millisecond
	// exchangeInterval is the longest time between rounds, for instances that have started or lost messages.
	exchangeInterval = 2 * time.Second
	exchangeTimeout  = 300 * time.Millisecond
)

// Spreader spreads the records of parts of prompts under which backend servers crashed, by gossip, so that it needs
// neither the store nor its readers.
type Spreader struct {
	Records  PartRecords
	Peers    PartPeers
	Snapshot func() relay.State
}

// Run spreads updates until the context ends.
func (s Spreader) Run(ctx context.Context) error {
	rounds := 0
	for ctx.Err() == nil {
		if rounds == 0 {
			s.spread(ctx, 1)
			rounds = s.awaitUpdate(ctx)
			continue
		}
		rounds--
		s.spread(ctx, spreadFanOut)
		clock.WaitFully(ctx, spreadInterval)
	}
	return nil
}

// awaitUpdate waits for an update up to exchangeInterval, and returns the number of rounds in which to spread it.
func (s Spreader) awaitUpdate(ctx context.Context) int {
	timer := time.NewTimer(exchangeInterval)
	defer timer.Stop()
	select {
	case <-s.Records.PartUpdates():
		return spreadRounds
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0
}

// spread exchanges records with randomly chosen instances.
func (s Spreader) spread(ctx context.Context, fanOut int) {
	for _, address := range s.randomPeers(fanOut) {
		s.exchange(ctx, address)
	}
}

func (s Spreader) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := s.Peers.ExchangeParts(ctx, address, s.Records.PartReports())
	if err != nil {
		// An instance that does not answer learns the update from others.
		return
	}
	s.Records.MergePartReports(answer)
}

// randomPeers returns the addresses of up to n other instances.
func (s Spreader) randomPeers(n int) []string {
	return randomAddresses(s.Snapshot(), n)
}

func randomAddresses(state relay.State, n int) []string {
	addresses := otherAddresses(state)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
