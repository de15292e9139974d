package stats

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// Run samples the sources once every period until the context ends, and once more then.
func (s *Stats) Run(ctx context.Context, from Sources) error {
	if !from.isComplete() {
		return errors.New("stats: a source is missing")
	}
	ticker := time.NewTicker(s.config.Period)
	defer ticker.Stop()
	var last plat.Usage
	for {
		last = s.sample(from, last)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.sample(from, last)
			return nil
		}
	}
}

// sample reads all sources once and returns the store usage up to which calls have been counted.
func (s *Stats) sample(from Sources, last plat.Usage) plat.Usage {
	current := from.Usage()
	s.sampleStore(last, current)
	s.sampleControl(from.Snapshot())
	s.set(requestsWaiting, float64(from.WaitingRequests()))
	s.set(requestsInFlight, float64(s.inFlight.Load()))
	s.set(claimsUnsettled, float64(from.UnsettledClaims()))
	s.set(billsUnsafe, float64(from.UnsafeBills()))
	return current
}

// sampleStore counts the calls to the key-value service since the last sample.
func (s *Stats) sampleStore(last, current plat.Usage) {
	s.count(storeCalls, current.Reads-last.Reads, "Read")
	s.count(storeCalls, current.Writes-last.Writes, "Write")
	s.count(storeCalls, current.Watches-last.Watches, "Watch")
	s.count(storeCalls, current.Retries-last.Retries, "Retry")
	s.count(storeCalls, current.Coalesced-last.Coalesced, "Coalesced")
	s.count(storeCalls, current.Throttled-last.Throttled, "Throttled")
	s.set(openWatches, float64(current.OpenWatches))
}

func (s *Stats) sampleControl(snapshot state.State) {
	s.set(configRevision, float64(snapshot.Self.Revision))
	s.set(configLag, s.configLagOf(snapshot.Self).Seconds())
	instanceCounts := make(map[value.InstanceState]int)
	for _, i := range snapshot.Instances().All() {
		instanceCounts[i.State]++
	}
	for _, st := range instanceStates() {
		s.set(instances, float64(instanceCounts[st]), string(st))
	}
	serverCounts := make(map[value.ServerState]int)
	for _, b := range snapshot.Servers().All() {
		serverCounts[b.State]++
	}
	for _, st := range serverStates() {
		s.set(backendServers, float64(serverCounts[st]), string(st))
	}
}

// configLagOf returns how long the instance has lagged, or zero if it doesn't: it knows of a newer
// configuration revision than the one in force, or could not decode entries of a revision.
func (s *Stats) configLagOf(i value.Instance) time.Duration {
	if i.LaggingSince.IsZero() {
		return 0
	}
	return s.config.Now().Sub(i.LaggingSince)
}

// instanceStates returns all states of instances. A sample sets the gauge of each, so that the
// gauge of a state that no longer occurs goes back to zero.
func instanceStates() []value.InstanceState {
	return []value.InstanceState{
		value.InstanceLive, value.InstanceLeaving, value.InstanceSuspected, value.InstanceGone,
	}
}

// serverStates returns all states of backend servers, for the same reason as instanceStates.
func serverStates() []value.ServerState {
	return []value.ServerState{value.ServerLive, value.ServerLeaving}
}
