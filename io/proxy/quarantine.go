package proxy

import (
	"context"
	"fmt"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// failProbe records that the probe has crashed a server. If it has other suspect parts, those that were not in quarantine
// are now, and the next probe with the rarest of them comes later. The others come without it, too.
func (d *Dispatcher[H]) failProbe(probe query.Probe, parts []relay.Part) {
	now := d.config.Now()
	companions := query.Companions(d.crashes.records.Get(), parts)
	d.crashes.quarantine(companions, now)
	for _, part := range companions {
		d.recordQuarantine(part, "Own")
	}
	records := d.crashes.records.Get()
	if suspects := query.Quarantined(records, parts); len(suspects) > 1 {
		d.crashes.recordFailedTogether(query.Rarest(records, suspects), now)
		return
	}
	d.crashes.recordFailedProbe(probe, now)
}

// PartReports returns what other instances should know of parts of prompts under which servers crashed.
func (d *Dispatcher[H]) PartReports() []relay.PartReport {
	return d.crashes.reports(d.config.Now())
}

// MergePartReports takes in what another instance knows of such parts.
func (d *Dispatcher[H]) MergePartReports(reports []relay.PartReport) {
	now := d.config.Now()
	for _, report := range reports {
		before, _ := d.crashes.records.Get().Get(report.Part)
		if report.EndedQuarantines >= before.EndedQuarantines {
			d.recordReportedCrashes(report, now)
		}
		if !d.crashes.update(report.Part, func(r relay.PartRecord) relay.PartRecord { return r.Merged(report.Record(now), now) }) {
			continue
		}
		d.crashes.notify()
		after, _ := d.crashes.records.Get().Get(report.Part)
		if before.IsQuarantined() != after.IsQuarantined() {
			d.recordQuarantine(report.Part, "Peer")
		}
	}
}

// recordReportedCrashes counts the crashes for the answers that were dropped at those servers.
func (d *Dispatcher[H]) recordReportedCrashes(report relay.PartReport, now time.Time) {
	for _, crash := range report.Crashes {
		d.crashes.recordCrash(nil, relay.Crash{Server: crash.Server, At: now.Add(-crash.Age), IsReported: true}, now)
	}
}

// PartUpdates returns a channel that receives a value when PartReports have changed.
func (d *Dispatcher[H]) PartUpdates() <-chan struct{} {
	return d.crashes.updates
}

// quarantinedParts returns the parts of the request's prompt that are in quarantine.
func (d *Dispatcher[H]) quarantinedParts(service relay.ServiceName, request relay.Request) []relay.PartID {
	shared := request.SharedParts()
	for _, part := range d.crashes.quarantineSuspects(d.config.Snapshot(), service, shared, d.config.Now()) {
		d.recordQuarantine(part, "Own")
	}
	return query.Quarantined(d.crashes.records.Get(), shared)
}

// checkQuarantine returns the probe that the request is sent as, or the refusal if it has quarantined parts and is no probe;
// both are nil if it has none.
func (d *Dispatcher[H]) checkQuarantine(ctx context.Context, service relay.ServiceName, request relay.Request) (*query.Probe, *relay.Refusal) {
	parts := d.quarantinedParts(service, request)
	if len(parts) == 0 {
		return nil, nil
	}
	now := d.config.Now()
	probe, isDue := query.DueProbe(d.crashes.records.Get(), request.SharedParts(), now)
	if isDue && d.claimProbe(ctx, probe) {
		d.recordQuarantine(probe.Part, "Probe")
		return &probe, nil
	}
	d.crashes.recordRejection(parts)
	record, _ := d.crashes.records.Get().Get(parts[0])
	refusal := query.QuarantineRefusal(parts[0], record, now)
	return nil, &refusal
}

// claimProbe asks the keepers for the probe, and reports whether the first one that can be reached grants it. Without that
// the fleet might send several probes at once.
func (d *Dispatcher[H]) claimProbe(ctx context.Context, probe query.Probe) bool {
	state := d.config.Snapshot()
	for _, keeper := range query.ProbeKeepers(state) {
		if keeper.Name == state.Self.Name {
			return d.GrantProbe(probe) > 0
		}
		number, err := d.claimProbeFrom(ctx, keeper, probe)
		if err != nil {
			continue
		}
		if number > 0 {
			d.crashes.recordProbe(probe, number, d.config.Now())
		}
		return number > 0
	}
	return false
}

func (d *Dispatcher[H]) claimProbeFrom(ctx context.Context, keeper relay.Member, probe query.Probe) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	return d.config.PartKeepers.ClaimProbe(ctx, keeper, probe)
}

// GrantProbe grants the probe, of which this instance is the keeper, to another instance or this one. It returns the number
// of the probe, or zero if it may not be sent.
func (d *Dispatcher[H]) GrantProbe(probe query.Probe) int {
	return d.crashes.grantProbe(probe, d.config.Now())
}

// recordQuarantine records that the part's quarantine has begun or ended, as found by this instance or another one.
func (d *Dispatcher[H]) recordQuarantine(part relay.PartID, source string) {
	record, _ := d.crashes.records.Get().Get(part)
	decision := Decision{Kind: DecisionPartReleased, Reason: source, SharedParts: []relay.Part{{ID: string(part)}}}
	if record.IsQuarantined() {
		decision.Kind = DecisionPartQuarantined
	}
	decision.Detail = fmt.Sprintf("%d crashes without an answer, %d probes", len(record.Crashes), record.FailedProbes())
	d.config.Recorder.Record(decision)
}
