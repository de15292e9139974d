package stats

import (
	"time"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

// The outcomes of a call to the metadata store.
const (
	callAnswered = "Answered"
	callFailed   = "Failed"
)

// RecordRelayed counts the decision about a relayed request and records its times.
func (s *Stats) RecordRelayed(d proxy.Decision) {
	s.count(relayedDecisions, 1, string(d.Kind), d.Reason)
	if d.FirstByteTime > 0 {
		s.observe(relayedFirstByte, d.FirstByteTime)
	}
	if d.Kind == proxy.DecisionAnswered {
		s.observe(relayedAnswer, d.Elapsed)
	}
}

// RecordStoreCall counts a call to the metadata store by its name and outcome.
func (s *Stats) RecordStoreCall(name string, err error) {
	outcome := callAnswered
	if err != nil {
		outcome = callFailed
	}
	s.count(relayedStoreCalls, 1, name, outcome)
}

// The outcomes of a claim for a request to a server.
const (
	claimGranted = "Granted"
	claimDenied  = "Denied"
)

// RecordClaim counts a claim for a request to a server that is cold or has stated a limit.
func (s *Stats) RecordClaim(kind proxy.ClaimKind, granted bool) {
	outcome := claimDenied
	if granted {
		outcome = claimGranted
	}
	s.count(relayedClaims, 1, string(kind), outcome)
}

// RecordRelayState sets the gauges that are read from the control state of a relaying instance.
func (s *Stats) RecordRelayState(v relay.State) {
	s.set(relayedConfigVersion, float64(v.Config.Version))
	unreachable := 0.0
	if !v.StoreUnreachableSince.IsZero() {
		unreachable = 1
	}
	s.set(relayedStoreUnreachable, unreachable)
	s.set(relayedEvacuatedDomains, float64(len(v.Evacuations())))
}

// RecordDropped counts dropped log lines.
func (s *Stats) RecordDropped(lines int64) {
	s.count(linesDropped, lines)
}

// RecordIntake counts a caller that was refused by the limits on callers, by the kind of limit.
func (s *Stats) RecordIntake(kind string) {
	s.count(intakeRefusals, 1, kind)
}

// CombinedRecorder is a proxy.Recorder that passes each decision to another recorder and counts it
// in Stats.
type CombinedRecorder struct {
	Next  proxy.Recorder
	Stats *Stats
}

// Record records the decision in Next and Stats.
func (r CombinedRecorder) Record(d proxy.Decision) {
	r.Next.Record(d)
	r.Stats.RecordRelayed(d)
}

// RelaySamplePeriod is the Config.Period of an instance that relays requests.
const RelaySamplePeriod = time.Second
