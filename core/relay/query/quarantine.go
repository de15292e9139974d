package query

import (
	"maps"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// PartRecords holds the records of parts under which servers crashed.
type PartRecords = policy.Table[relay.PartID, relay.PartRecord]

const (
	// momentGap is the least time between crashes that count as being at different moments. At QuarantineCrashes
	// different moments hardly any part that was merely there has had the head of an answer from the server that was
	// lost; at one moment, when many servers are lost at once, some have.
	momentGap = 100 * time.Millisecond
	// retryGap is the same for servers that were lost under requests which had crashed another one before: the next one works
	// on the request first.
	retryGap = 20 * time.Millisecond
	// minCrashes is the number of other crashes from which a part is quarantined, and crashSettleTime how old they must
	// be to count, so that answers that began elsewhere meanwhile are known.
	minCrashes      = 5
	crashSettleTime = time.Second
	// minOtherStarts is how many answers to other requests must have begun at this instance between the first and
	// the last of them. While a service begins no answers at all, their lack says nothing about a part, unless servers
	// came back and were lost again.
	minOtherStarts = 8
	// lostTime is how long ago a server that counts as lost may have been lost, and lostShare the share of a service's
	// servers from which the service counts as down, once nothing has begun for crashSettleTime.
	lostTime  = 3 * time.Second
	lostShare = 0.5
	// nearlyMost is the share of the most crashes that a part must explain to be quarantined with the one that does.
	nearlyMost = 0.75
)

// ServiceHealth is what an instance knows of a service besides the records of parts.
type ServiceHealth struct {
	// Starts are the answers that began at this instance.
	Starts relay.AnswerStarts
	// Servers holds the hashes of the servers' identifiers.
	Servers []uint64
}

// isDown reports whether most servers were lost lately and nothing begins any more.
func (h ServiceHealth) isDown(records PartRecords, now time.Time) bool {
	if h.Starts.Between(now.Add(-crashSettleTime), now) > 0 {
		return false
	}
	lost := make(map[uint64]bool)
	for _, record := range records.All() {
		for _, crash := range record.Crashes {
			if now.Sub(crash.At) <= lostTime {
				lost[crash.Server] = true
			}
		}
	}
	n := 0
	for _, server := range h.Servers {
		if lost[server] {
			n++
		}
	}
	return float64(n) > lostShare*float64(len(h.Servers))
}

// IsSuspect reports whether so many servers crashed under requests with the part, and no answer to one of them
// began, that the records must be searched for the part to quarantine.
func IsSuspect(records PartRecords, part relay.PartID, health ServiceHealth, now time.Time) bool {
	record, ok := records.Get(part)
	return ok && !record.IsQuarantined() && crashesOf(record, nil, evidenceOf(records, health, now)) > 0
}

// crashEvidence is what tells crashes on a part from those that have another reason.
type crashEvidence struct {
	starts relay.AnswerStarts
	// isDown is set while most servers are lost and nothing begins.
	isDown bool
	now    time.Time
}

func evidenceOf(records PartRecords, health ServiceHealth, now time.Time) crashEvidence {
	return crashEvidence{starts: health.Starts, isDown: health.isDown(records, now), now: now}
}

// PartsToQuarantine returns the parts that explain the most crashes, or nearly the most: while nothing is answered, a
// part that all requests share was at every server that a rarer one crashed. Crashes that a part in quarantine explains
// don't count, since the other parts of those requests, and of others at the same servers, were merely there.
func PartsToQuarantine(records PartRecords, health ServiceHealth, now time.Time) []relay.PartID {
	known := evidenceOf(records, health, now)
	var quarantined []relay.PartRecord
	for _, record := range records.All() {
		if record.IsQuarantined() {
			quarantined = append(quarantined, record)
		}
	}
	counts, most := make(map[relay.PartID]int), 0
	for part, record := range records.All() {
		if record.IsQuarantined() {
			continue
		}
		if n := crashesOf(record, quarantined, known); n > 0 {
			counts[part], most = n, max(most, n)
		}
	}
	maps.DeleteFunc(counts, func(_ relay.PartID, n int) bool { return float64(n) < nearlyMost*float64(most) })
	return slices.Sorted(maps.Keys(counts))
}

// crashesOf counts the record's crashes that speak against the part, without those that one of the quarantined parts
// explains. It returns 0 if there are too few, or if servers may have crashed for another reason.
func crashesOf(record relay.PartRecord, quarantined []relay.PartRecord, known crashEvidence) int {
	crashes := slices.DeleteFunc(slices.Clone(record.Crashes), func(c relay.Crash) bool { return isExplained(c, quarantined) })
	if countMoments(crashes, momentGap, func(c relay.Crash) bool { return c.HeadReceived }) >= relay.QuarantineCrashes {
		return len(crashes)
	}
	settled := crashesBefore(crashes, known.now.Add(-crashSettleTime))
	if len(settled) < minCrashes || !known.speaksAgainst(settled) {
		return 0
	}
	return len(settled)
}

// speaksAgainst reports whether the crashes, of servers that hadn't sent the head of an answer, are those of a part. Answers to
// others began between them, or servers that had come back were lost again, or requests crashed servers one after the other,
// or a service went down in that way, while an outage of all is one moment.
func (e crashEvidence) speaksAgainst(crashes []relay.Crash) bool {
	if e.starts.Between(crashes[0].At, crashes[len(crashes)-1].At) >= minOtherStarts {
		return true
	}
	if countMoments(crashes, momentGap, func(c relay.Crash) bool { return c.HadReturned }) >= relay.QuarantineCrashes {
		return true
	}
	if countMoments(crashes, retryGap, func(c relay.Crash) bool { return c.OnRetry }) >= relay.QuarantineCrashes {
		return true
	}
	return e.isDown && countMoments(crashes, momentGap, func(c relay.Crash) bool { return c.HasWorked }) >= relay.QuarantineCrashes
}

// crashesBefore returns the crashes, which are in order, up to the time.
func crashesBefore(crashes []relay.Crash, at time.Time) []relay.Crash {
	n := 0
	for n < len(crashes) && !crashes[n].At.After(at) {
		n++
	}
	return crashes[:n]
}

// countMoments counts the different moments, at least the gap apart, of the crashes for which the function is true.
func countMoments(crashes []relay.Crash, gap time.Duration, isCounted func(relay.Crash) bool) int {
	var last time.Time
	n := 0
	for _, crash := range crashes {
		if isCounted(crash) && crash.At.Sub(last) >= gap {
			last = crash.At
			n++
		}
	}
	return n
}

func isExplained(crash relay.Crash, quarantined []relay.PartRecord) bool {
	for _, record := range quarantined {
		if record.HasCrash(crash) {
			return true
		}
	}
	return false
}

// Quarantined returns the parts of the prompt that are in quarantine.
func Quarantined(records PartRecords, prompt []relay.Part) []relay.PartID {
	var parts []relay.PartID
	for _, part := range prompt {
		if record, ok := records.Get(relay.PartID(part.ID)); ok && record.IsQuarantined() {
			parts = append(parts, relay.PartID(part.ID))
		}
	}
	return parts
}
