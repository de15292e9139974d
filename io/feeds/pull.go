package feeds

import (
	"context"
	"math/rand/v2"

	"endivehitch/core/relay"
	"endivehitch/io/clock"
)

// RunPeers pulls changes from other instances while the instance has no state and while the store is
// unreachable, until the context ends.
func (f *Follower) RunPeers(ctx context.Context) error {
	if err := f.pullFirst(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		s, changed := f.config.Control.Watch()
		if s.StoreUnreachableSince.IsZero() {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
			continue
		}
		address, ok := f.randomPeer(s)
		if !ok || !f.pullFromPeer(ctx, address, s.Revision) {
			if !clock.WaitFully(ctx, jitter(peerRetryPause)) {
				return nil
			}
		}
	}
	return nil
}

// pullFromPeer applies the changes of the instance at the address, and reports whether it succeeded.
func (f *Follower) pullFromPeer(ctx context.Context, address string, revision int64) bool {
	limited, cancel := context.WithTimeout(ctx, peerLongPoll+bulkTimeout)
	defer cancel()
	start := f.config.Now()
	feed, err := f.config.Peers.Since(limited, address, Ask{Revision: revision, Wait: peerLongPoll, Bulk: true})
	if err != nil || !f.isTimely(start, peerLongPoll+bulkTimeout) {
		// Instances may depart at any time; another one is asked after a pause.
		return false
	}
	return f.applyFeed(ctx, feed, address, false) == nil
}

// randomPeer returns the address of a randomly chosen other instance, which may be one of the seeds.
func (f *Follower) randomPeer(s relay.State) (string, bool) {
	addresses := otherAddresses(s)
	for _, seed := range f.config.Seeds() {
		if seed != s.Self.Address {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// otherAddresses returns the addresses of the other live instances.
func otherAddresses(s relay.State) []string {
	var addresses []string
	for _, m := range s.Members() {
		if m.Name != s.Self.Name {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
