package stats

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// Run samples the sources until the context ends.
func (s *Stats) Run(ctx context.Context, from Sources) error {
	if !from.whole() {
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

// sample takes all sources once and returns the usage that it has counted up to.
func (s *Stats) sample(from Sources, last plat.Usage) plat.Usage {
	now := from.Usage()
	s.sampleStore(last, now)
	s.sampleControl(from.Snapshot())
	s.set(waiting, float64(from.Waiting()))
	s.set(inFlight, float64(s.inFlight.Load()))
	s.set(unsettled, float64(from.Unsettled()))
	s.set(unsafeBills, float64(from.Unsafe()))
	return now
}

func (s *Stats) sampleStore(last, now plat.Usage) {
	s.count(storeCalls, now.Reads-last.Reads, "Read")
	s.count(storeCalls, now.Writes-last.Writes, "Write")
	s.count(storeCalls, now.Watches-last.Watches, "Watch")
	s.count(storeCalls, now.Retries-last.Retries, "Retry")
	s.count(storeCalls, now.Coalesced-last.Coalesced, "Coalesced")
	s.count(storeCalls, now.Throttled-last.Throttled, "Throttled")
	s.set(openWatches, float64(now.Waiting))
}

func (s *Stats) sampleControl(now state.State) {
	s.set(revision, float64(now.Self.Revision))
	s.set(lag, s.lagOf(now.Self).Seconds())
	fleet := make(map[value.InstanceState]int)
	for _, i := range now.Instances().All() {
		fleet[i.State]++
	}
	for _, st := range instanceStates() {
		s.set(instances, float64(fleet[st]), string(st))
	}
	pool := make(map[value.ServerState]int)
	for _, b := range now.Servers().All() {
		pool[b.State]++
	}
	for _, st := range serverStates() {
		s.set(servers, float64(pool[st]), string(st))
	}
}

func (s *Stats) lagOf(i value.Instance) time.Duration {
	if i.LaggingSince.IsZero() {
		return 0
	}
	return s.config.Now().Sub(i.LaggingSince)
}

// Each state is set at every sample, so that one that no longer occurs falls to zero.
func instanceStates() []value.InstanceState {
	return []value.InstanceState{
		value.InstanceLive, value.InstanceLeaving, value.InstanceSuspected, value.InstanceGone,
	}
}

func serverStates() []value.ServerState {
	return []value.ServerState{value.ServerLive, value.ServerLeaving}
}
