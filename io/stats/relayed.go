package stats

import (
	"time"

	"endivehitch/core/relay"
	"endivehitch/io/carry"
)

// The outcomes of a call to the metadata store.
const (
	callAnswered = "Answered"
	callFailed   = "Failed"
)

// RecordRelayed counts the decision about a relayed request.
func (s *Stats) RecordRelayed(d carry.Decision) {
	s.count(relayed, 1, string(d.Kind), d.Reason)
	if d.FirstByteTime > 0 {
		s.took(relayedFirst, d.FirstByteTime)
	}
	if d.Kind == carry.DecisionAnswered {
		s.took(relayedWhole, d.Elapsed)
	}
}

// RecordStoreCall counts a call to the metadata store.
func (s *Stats) RecordStoreCall(name string, err error) {
	outcome := callAnswered
	if err != nil {
		outcome = callFailed
	}
	s.count(relayedStore, 1, name, outcome)
}

// RecordRelayState takes the state's gauges.
func (s *Stats) RecordRelayState(v relay.State) {
	s.set(relayedVersion, float64(v.Config.Version))
	away := 0.0
	if !v.StoreUnreachableSince.IsZero() {
		away = 1
	}
	s.set(relayedAway, away)
}

// RecordDropped counts log lines that were left out.
func (s *Stats) RecordDropped(lines int64) {
	s.count(linesDropped, lines)
}

// Both records each decision in two places.
type Both struct {
	First carry.Recorder
	Stats *Stats
}

// Record notes the decision in both.
func (b Both) Record(d carry.Decision) {
	b.First.Record(d)
	b.Stats.RecordRelayed(d)
}

// Period is how often the metrics of a relaying instance are taken.
const Period = time.Second
