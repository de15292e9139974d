package query

import (
	"cmp"
	"slices"
	"time"

	"endivehitch/core/relay"
)

// Probe is a request with quarantined parts that is sent to see whether their quarantine is still needed.
type Probe struct {
	// Part is the part to blame if the request crashes a server: of several, the rarest. The others come without it too, so
	// that they are probed better by other requests.
	Part relay.PartID
	// IsTogether is set if the request has several suspect parts. If it crashes a server, it doesn't show which of them is
	// to blame; an answer shows that all are sound.
	IsTogether bool
}

// IsProbeDue reports whether the probe may be sent, provided that the keeper grants it. Parts that were at the same crash
// are probed one after the other, as the probe of one may crash the server at which that of another is.
func IsProbeDue(records PartRecords, probe Probe, now time.Time) bool {
	record, _ := records.Get(probe.Part)
	if !record.IsQuarantined() || !isPlanDue(record, probe.IsTogether, now) {
		return false
	}
	for _, other := range records.All() {
		if other.IsQuarantined() && other.IsProbePending(now) && countShared(record, other) > 0 {
			return false
		}
	}
	return true
}

// isPlanDue reports whether a probe with the part is due by its plan.
func isPlanDue(record relay.PartRecord, isTogether bool, now time.Time) bool {
	// A probe of the part alone shows that it crashes servers, whatever comes with it.
	isToBlame := record.Alone.Failed > 0 && now.Before(record.Alone.Next)
	return !isToBlame && !now.Before(record.Plan(isTogether).Next)
}

// DueProbe returns the probe that a request with the prompt is, if it may be sent now.
func DueProbe(records PartRecords, prompt []relay.Part, now time.Time) (Probe, bool) {
	quarantined := Quarantined(records, prompt)
	probe := Probe{Part: Rarest(records, quarantined), IsTogether: len(quarantined)+len(Companions(records, prompt)) > 1}
	for _, part := range quarantined {
		if record, _ := records.Get(part); !isPlanDue(record, probe.IsTogether, now) {
			return probe, false
		}
	}
	return probe, IsProbeDue(records, probe, now)
}

// Rarest returns the part to blame if a request with all of them crashes a server: one to which no answer began since it was
// at a crash, then the one at the fewest crashes and, of several, the one for which the fewest requests were rejected.
// Rejections alone don't tell, as there are none of a part that has just been quarantined, however many requests have it.
func Rarest(records PartRecords, parts []relay.PartID) relay.PartID {
	if len(parts) == 0 {
		return ""
	}
	return slices.MinFunc(parts, func(a, b relay.PartID) int {
		first, _ := records.Get(a)
		second, _ := records.Get(b)
		return cmp.Or(
			first.StartedAt.Compare(second.StartedAt), cmp.Compare(len(first.Crashes), len(second.Crashes)), cmp.Compare(first.Rejected, second.Rejected),
		)
	})
}

// companionShare is the share of a quarantined part's crashes from which another part that was at them is suspect too.
const companionShare = 0.5

// Companions returns the parts of the prompt that are not in quarantine, but were at many of the crashes of one that is.
func Companions(records PartRecords, prompt []relay.Part) []relay.PartID {
	quarantined := Quarantined(records, prompt)
	var companions []relay.PartID
	for _, part := range prompt {
		record, _ := records.Get(relay.PartID(part.ID))
		isCompanion := func(other relay.PartID) bool {
			suspect, _ := records.Get(other)
			return countShared(record, suspect) >= companionShare*float64(len(suspect.Crashes))
		}
		if !record.IsQuarantined() && slices.ContainsFunc(quarantined, isCompanion) {
			companions = append(companions, relay.PartID(part.ID))
		}
	}
	return companions
}

// countShared counts the crashes that both parts were at.
func countShared(record, other relay.PartRecord) float64 {
	n := 0.0
	for _, crash := range other.Crashes {
		if record.HasCrash(crash) {
			n++
		}
	}
	return n
}

const (
	// probeKeeperKey is what the keepers of probes are chosen by.
	probeKeeperKey = "probes"
	// probeKeepers is the number of instances of which one can grant a probe when those before it are gone.
	probeKeepers = 2
)

// ProbeKeepers returns the instances that grant probes, so that the fleet sends one at a time. Each is asked only if
// those before it can't be reached.
func ProbeKeepers(state relay.State) []relay.Member {
	members := []relay.Member{state.Self}
	for _, m := range state.Members() {
		if m.Name != state.Self.Name {
			members = append(members, m)
		}
	}
	return rankMembers(members, probeKeeperKey, probeKeepers)
}

// minQuarantineRetryAfter is the shortest time after which a caller should try a request with a quarantined part
// again.
const minQuarantineRetryAfter = time.Second

// QuarantineRefusal returns the answer to a request with a part that crashes servers.
func QuarantineRefusal(part relay.PartID, record relay.PartRecord, now time.Time) relay.Refusal {
	return relay.Refusal{
		Reason: relay.ReasonQuarantined, NotRun: true, RetryAfter: max(minQuarantineRetryAfter, record.Alone.Next.Sub(now)),
		Detail: "servers crash on part " + string(part) + " of the prompt",
	}
}
