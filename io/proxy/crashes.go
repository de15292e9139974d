package proxy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// crashes holds the records of parts of prompts under which servers crashed, as known to the fleet.
type crashes struct {
	records policy.Cell[query.PartRecords]
	// starts counts, for each service, the answers that began to requests with shared parts.
	starts   policy.Cells[relay.ServiceName, relay.AnswerStarts]
	discards discards
	// updates receives a value when there is something to tell other instances.
	updates chan struct{}
}

const (
	// maxPartRecords bounds the records that an instance keeps, and maxPartReports those in one message.
	maxPartRecords = 512
	maxPartReports = 64
	// partNewsTime is how long a change of a record is passed on.
	partNewsTime = 2 * time.Second
	// startResolution is how exactly the start of an answer is recorded where it changes nothing else.
	startResolution = 250 * time.Millisecond
)

func newCrashes() *crashes {
	return &crashes{updates: make(chan struct{}, 1), discards: newDiscards()}
}

// update replaces the part's record by the result of change. It reports whether there is a change to pass on.
func (c *crashes) update(part relay.PartID, change func(relay.PartRecord) relay.PartRecord) bool {
	isChanged := false
	c.records.Update(func(records query.PartRecords) query.PartRecords {
		old, ok := records.Get(part)
		changed := change(old)
		isChanged = !changed.UpdatedAt.Equal(old.UpdatedAt)
		if !ok && len(changed.Crashes) == 0 && changed.EndedQuarantines == 0 {
			return records
		}
		if !ok && records.Len() >= maxPartRecords {
			records = withoutWeakest(records)
		}
		return records.With(part, changed)
	})
	return isChanged
}

// quarantineWeight makes a quarantined record the last to be dropped for others.
const quarantineWeight = 1000

// withoutWeakest returns the records without one of those that have the fewest crashes.
func withoutWeakest(records query.PartRecords) query.PartRecords {
	var weakest relay.PartID
	fewest := math.MaxInt
	for part, record := range records.All() {
		n := len(record.Crashes)
		if record.IsQuarantined() {
			n += quarantineWeight
		}
		if n < fewest {
			weakest, fewest = part, n
		}
	}
	return records.Without(weakest)
}

// recordCrash records a crash of a server that had a request with the parts of which it had sent at most the head of an
// answer. It counts for the answers that were dropped, too.
func (c *crashes) recordCrash(parts []relay.Part, crash relay.Crash, now time.Time) {
	c.updateAll(idsOf(parts), func(r relay.PartRecord) relay.PartRecord { return r.WithCrash(crash, now) })
	for _, dropped := range c.discards.suspects(crash.Server, crash.At) {
		c.updateAll(idsOf(dropped), func(r relay.PartRecord) relay.PartRecord {
			return r.WithCrash(relay.Crash{Server: crash.Server, At: crash.At, IsReported: crash.IsReported}, now)
		})
	}
}

func (c *crashes) updateAll(parts []relay.PartID, change func(relay.PartRecord) relay.PartRecord) {
	for _, part := range parts {
		if c.update(part, change) {
			c.notify()
		}
	}
}

func idsOf(parts []relay.Part) []relay.PartID {
	ids := make([]relay.PartID, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, relay.PartID(part.ID))
	}
	return ids
}

func hashOf(server relay.ServerID) uint64 {
	return xxhash.Sum64String(string(server))
}

// recordStart records that an answer to a request with the parts has begun. It returns the parts whose quarantine
// that ends.
func (c *crashes) recordStart(service relay.ServiceName, parts []relay.Part, now time.Time) []relay.PartID {
	if len(parts) == 0 {
		return nil
	}
	c.starts.Cell(service).Update(func(s relay.AnswerStarts) relay.AnswerStarts { return s.With(now) })
	var released []relay.PartID
	for _, p := range parts {
		part := relay.PartID(p.ID)
		record, ok := c.records.Get().Get(part)
		if !ok || (len(record.Crashes) == 0 && now.Sub(record.StartedAt) < startResolution) {
			continue
		}
		if c.update(part, func(r relay.PartRecord) relay.PartRecord { return r.WithStart(now, now) }) {
			c.notify()
		}
		if after, _ := c.records.Get().Get(part); record.IsQuarantined() && !after.IsQuarantined() {
			released = append(released, part)
		}
	}
	return released
}

// quarantineSuspects quarantines the parts that explain most crashes if one of the given parts is suspect, and returns them.
func (c *crashes) quarantineSuspects(state relay.State, service relay.ServiceName, parts []relay.Part, now time.Time) []relay.PartID {
	found := c.findSuspects(state, service, parts, now)
	c.quarantine(found, now)
	return found
}

// findSuspects returns the parts that explain most crashes if one of the given parts is suspect.
func (c *crashes) findSuspects(state relay.State, service relay.ServiceName, parts []relay.Part, now time.Time) []relay.PartID {
	records := c.records.Get()
	if records.Len() == 0 {
		return nil
	}
	health := query.ServiceHealth{Starts: c.starts.Get(service)}
	for _, server := range state.Servers(service) {
		health.Servers = append(health.Servers, hashOf(server.ID))
	}
	isSuspect := func(p relay.Part) bool { return query.IsSuspect(records, relay.PartID(p.ID), health, now) }
	if !slices.ContainsFunc(parts, isSuspect) {
		return nil
	}
	return query.PartsToQuarantine(records, health, now)
}

func (c *crashes) quarantine(parts []relay.PartID, now time.Time) {
	c.updateAll(parts, func(r relay.PartRecord) relay.PartRecord { return r.WithQuarantine(now) })
}

// grantProbe counts the probe and returns its number, or zero if it may not be sent.
func (c *crashes) grantProbe(probe query.Probe, now time.Time) int {
	number := 0
	granted := c.records.TryUpdate(func(records query.PartRecords) (query.PartRecords, bool) {
		if !query.IsProbeDue(records, probe, now) {
			return records, false
		}
		record, _ := records.Get(probe.Part)
		record = record.WithProbe(probe.IsTogether, 0, now)
		number = record.SentProbes
		return records.With(probe.Part, record), true
	})
	if !granted {
		return 0
	}
	c.notify()
	return number
}

// recordProbe records that a request with the quarantined part is sent as the probe, which its keeper has granted under the
// number.
func (c *crashes) recordProbe(probe query.Probe, number int, now time.Time) {
	c.updateQuarantined(probe.Part, func(r relay.PartRecord) relay.PartRecord { return r.WithProbe(probe.IsTogether, number, now) })
}

// recordInconclusiveProbe records that the probe has ended, unless its outcome is known.
func (c *crashes) recordInconclusiveProbe(probe query.Probe, hasReached bool, now time.Time) {
	c.updateQuarantined(probe.Part, func(r relay.PartRecord) relay.PartRecord { return r.WithInconclusiveProbe(hasReached, now) })
}

// recordFailedProbe records that the probe has crashed a server.
func (c *crashes) recordFailedProbe(probe query.Probe, now time.Time) {
	c.updateQuarantined(probe.Part, func(r relay.PartRecord) relay.PartRecord { return r.WithFailedProbe(now) })
}

// recordFailedTogether records that a probe with the quarantined part and others has crashed a server.
func (c *crashes) recordFailedTogether(part relay.PartID, now time.Time) {
	c.updateQuarantined(part, func(r relay.PartRecord) relay.PartRecord { return r.WithFailedTogether(now) })
}

// recordRejection records that a request was rejected for the parts.
func (c *crashes) recordRejection(parts []relay.PartID) {
	for _, part := range parts {
		c.updateQuarantined(part, relay.PartRecord.WithRejection)
	}
}

// updateQuarantined replaces the part's record by the result of change, if the part is still in quarantine.
func (c *crashes) updateQuarantined(part relay.PartID, change func(relay.PartRecord) relay.PartRecord) {
	isChanged := c.update(part, func(r relay.PartRecord) relay.PartRecord {
		if !r.IsQuarantined() {
			return r
		}
		return change(r)
	})
	if isChanged {
		c.notify()
	}
}

// lastLoss returns when the server is known to have been lost last up to the given time, or the zero time.
func (c *crashes) lastLoss(server uint64, before time.Time) time.Time {
	var last time.Time
	for _, record := range c.records.Get().All() {
		if at := record.LastLoss(server, before); at.After(last) {
			last = at
		}
	}
	return last
}

// expire removes the records that are too old to be of use.
func (c *crashes) expire(now time.Time) {
	var expired []relay.PartID
	for part, record := range c.records.Get().All() {
		if record.IsExpired(now) {
			expired = append(expired, part)
		}
	}
	if len(expired) > 0 {
		c.records.Update(func(records query.PartRecords) query.PartRecords { return records.Edit(nil, expired) })
	}
}

// notify makes PartUpdates report a change to pass on.
func (c *crashes) notify() {
	select {
	case c.updates <- struct{}{}:
	default:
	}
}

// reports returns the quarantined parts and what has changed lately, those with the most crashes first.
func (c *crashes) reports(now time.Time) []relay.PartReport {
	var reports []relay.PartReport
	for part, record := range c.records.Get().All() {
		if record.IsQuarantined() || now.Sub(record.UpdatedAt) < partNewsTime {
			reports = append(reports, relay.ReportOf(part, record, now))
		}
	}
	slices.SortFunc(reports, func(a, b relay.PartReport) int {
		return cmp.Or(cmp.Compare(min(b.Quarantined, 1), min(a.Quarantined, 1)), cmp.Compare(len(b.Crashes), len(a.Crashes)))
	})
	return reports[:min(len(reports), maxPartReports)]
}
