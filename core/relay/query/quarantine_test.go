package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// crashedParts returns records in which each part was at the given servers when they crashed, a second apart.
func crashedParts(from time.Time, servers map[relay.PartID][]uint64) query.PartRecords {
	var records query.PartRecords
	for part, crashed := range servers {
		var r relay.PartRecord
		for _, server := range crashed {
			r = r.WithCrash(relay.Crash{Server: server, At: from.Add(time.Duration(server) * time.Second)}, from)
		}
		records = records.With(part, r)
	}
	return records
}

// startsBetween returns ten starts in the middle of the time span.
func startsBetween(from, to time.Time) relay.AnswerStarts {
	starts := relay.AnswerStarts{}.With(from.Add(-time.Minute))
	for range 10 {
		starts = starts.With(from.Add(to.Sub(from) / 2))
	}
	return starts
}

// Guards against blaming a part that was merely at servers which another part crashed.
func TestPartThatExplainsMostCrashesIsQuarantinedAlone(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"deadly": {1, 2, 3, 4, 5, 6, 7}, "shared": {1, 2, 3, 5, 6}, "rare": {4}})
	now := from.Add(9 * time.Second)
	starts := startsBetween(from, now)
	parts := query.PartsToQuarantine(records, query.ServiceHealth{Starts: starts}, now)
	assert.DeepEqual(t, parts, []relay.PartID{"deadly"})
	deadly, _ := records.Get("deadly")
	records = records.With("deadly", deadly.WithQuarantine(now))
	assert.Equal(t, len(query.PartsToQuarantine(records, query.ServiceHealth{Starts: starts}, now)), 0)
}

// Guards against blaming only what crashed servers merely shared: while nothing is answered, the part that all requests
// share is at each server that the deadly one crashes, and at one more that was lost for another reason.
func TestRarerPartIsQuarantinedWithTheOneThatAllRequestsShare(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"deadly": {1, 2, 3, 4, 5, 6, 7}, "popular": {1, 2, 3, 4, 5, 6, 7, 8}, "some": {1, 3, 5, 7, 8}})
	for _, part := range []relay.PartID{"deadly", "popular", "some"} {
		records = withHeads(records, part, 4)
	}
	parts := query.PartsToQuarantine(records, query.ServiceHealth{}, from.Add(10*time.Second))
	assert.DeepEqual(t, parts, []relay.PartID{"deadly", "popular"})
}

// Guards against a quarantine on crashes alone: other answers must have begun between them, not just after an outage of
// all servers, and what began at other instances must be known.
func TestPartIsSuspectOnlyIfOthersWereAnsweredMeanwhile(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"p": {1, 2, 3, 4, 5}})
	last := from.Add(5 * time.Second)
	meanwhile, afterwards := startsBetween(from, last), startsBetween(last, last.Add(time.Second))
	assert.Assert(t, query.IsSuspect(records, "p", query.ServiceHealth{Starts: meanwhile}, last.Add(time.Second)))
	assert.Assert(t, !query.IsSuspect(records, "p", query.ServiceHealth{Starts: meanwhile}, last.Add(900*time.Millisecond)))
	assert.Assert(t, !query.IsSuspect(records, "p", query.ServiceHealth{Starts: afterwards}, last.Add(2*time.Second)))
	assert.Assert(t, query.IsSuspect(withHeads(records, "p", 3), "p", query.ServiceHealth{}, last.Add(time.Second)), "servers that had begun the answer didn't crash by chance")
}

// withHeads returns the records with as many of the part's crashes as given in which the server had sent the head of an
// answer.
func withHeads(records query.PartRecords, part relay.PartID, heads int) query.PartRecords {
	return withReports(records, part, heads, relay.Crash{HeadReceived: true})
}

// withReports returns the records in which what the report says holds for as many of the part's crashes as given.
func withReports(records query.PartRecords, part relay.PartID, crashes int, report relay.Crash) query.PartRecords {
	record, _ := records.Get(part)
	for _, crash := range record.Crashes[:crashes] {
		report.Server, report.At = crash.Server, crash.At
		record = record.WithCrash(report, crash.At)
	}
	return records.With(part, record)
}

// Guards against a deadly part that is never found while no server answers anything, and against blaming what an outage of
// all servers had in common, in which hardly any came back.
func TestPartIsSuspectWithoutAnyAnswerOnlyIfServersCameBack(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"p": {1, 2, 3, 4, 5}})
	isSuspect := func(returned int) bool {
		reported := withReports(records, "p", returned, relay.Crash{HadReturned: true})
		return query.IsSuspect(reported, "p", query.ServiceHealth{}, from.Add(6*time.Second))
	}
	assert.Assert(t, isSuspect(3))
	assert.Assert(t, !isSuspect(2))
}

// Guards against a deadly part that is never found because it takes all servers down at once, so that nothing else is answered
// before they are back, and against blaming what an outage of all servers had in common.
func TestPartThatTookMostServersDownIsSuspectThoughNothingIsAnswered(t *testing.T) {
	from := time.Unix(1000, 0)
	records := func(gap time.Duration, hasWorked bool) query.PartRecords {
		var r relay.PartRecord
		for server := range uint64(6) {
			r = r.WithCrash(relay.Crash{Server: server, At: from.Add(time.Duration(server) * gap), HasWorked: hasWorked}, from)
		}
		return query.PartRecords{}.With("p", r)
	}
	nine, twelve := []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8}, []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	for _, c := range []struct {
		name      string
		gap       time.Duration
		servers   []uint64
		starts    relay.AnswerStarts
		after     time.Duration
		isSuspect bool
	}{
		{"one server after the other", 50 * time.Millisecond, nine, relay.AnswerStarts{}, 1500 * time.Millisecond, true},
		{"too early to know of answers elsewhere", 50 * time.Millisecond, nine, relay.AnswerStarts{}, 900 * time.Millisecond, false},
		{"all at one moment", 10 * time.Millisecond, nine, relay.AnswerStarts{}, 1500 * time.Millisecond, false},
		{"half of the servers are left", 50 * time.Millisecond, twelve, relay.AnswerStarts{}, 1500 * time.Millisecond, false},
		{"answers to others begin", 50 * time.Millisecond, nine, startsBetween(from.Add(time.Second), from.Add(1300*time.Millisecond)), 1500 * time.Millisecond, false},
		{"servers have been back for a while", 50 * time.Millisecond, nine, relay.AnswerStarts{}, 6 * time.Second, false},
	} {
		health := query.ServiceHealth{Starts: c.starts, Servers: c.servers}
		assert.Equal(t, query.IsSuspect(records(c.gap, true), "p", health, from.Add(c.after)), c.isSuspect, c.name)
	}
	health := query.ServiceHealth{Servers: nine}
	assert.Assert(t, !query.IsSuspect(records(50*time.Millisecond, false), "p", health, from.Add(1500*time.Millisecond)), "the servers may have been down")
}

// Guards against a deadly part that is found too late because few requests with it come, each of which crashes several servers
// one after the other, and against blaming what two losses of many servers had in common.
func TestPartWhoseRequestsCrashServersOneAfterTheOtherIsSuspectSoon(t *testing.T) {
	from := time.Unix(1000, 0)
	isSuspect := func(gap time.Duration, onRetry int, after time.Duration) bool {
		var r relay.PartRecord
		for server := range 6 {
			r = r.WithCrash(relay.Crash{Server: uint64(server), At: from.Add(time.Duration(server) * gap), OnRetry: server < onRetry}, from)
		}
		return query.IsSuspect(query.PartRecords{}.With("p", r), "p", query.ServiceHealth{}, from.Add(after))
	}
	const settled = 1500 * time.Millisecond
	assert.Assert(t, isSuspect(30*time.Millisecond, 3, settled))
	assert.Assert(t, !isSuspect(30*time.Millisecond, 3, time.Second), "answers that began elsewhere meanwhile are not known yet")
	assert.Assert(t, !isSuspect(30*time.Millisecond, 2, settled))
	assert.Assert(t, !isSuspect(time.Millisecond, 6, settled), "they were lost at once")
}

// Guards against a deadly part that crashes every server of a small service before five crashes are old enough to count,
// although servers were lost as they began to answer requests with it.
func TestPartWhoseAnswersHadBegunIsSuspectSooner(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"p": {1, 2, 3}})
	last := from.Add(3 * time.Second)
	assert.Assert(t, query.IsSuspect(withHeads(records, "p", 3), "p", query.ServiceHealth{}, last))
	assert.Assert(t, !query.IsSuspect(withHeads(records, "p", 2), "p", query.ServiceHealth{}, last.Add(time.Minute)))
	var atOnce relay.PartRecord
	for server := range uint64(7) {
		atOnce = atOnce.WithCrash(relay.Crash{Server: server, At: from.Add(time.Duration(server) * 10 * time.Millisecond), HeadReceived: true}, from)
	}
	assert.Assert(t, !query.IsSuspect(query.PartRecords{}.With("p", atOnce), "p", query.ServiceHealth{}, last.Add(time.Minute)), "many servers that are lost at once had begun some answers")
}

// isProbe returns the probe that a request with the parts is.
func isProbe(records query.PartRecords, now time.Time, parts ...string) (query.Probe, bool) {
	var prompt []relay.Part
	for _, part := range parts {
		prompt = append(prompt, relay.Part{ID: part})
	}
	return query.DueProbe(records, prompt, now)
}

// Guards against a probe that blames a sound part: a request with the deadly part was sent as the probe of what all requests
// share, which stayed rejected for its crash.
func TestRequestWithOneSuspectPartIsThePreferredProbe(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"popular": {1, 2, 3}, "deadly": {2, 3}, "rare": {1}})
	popular, _ := records.Get("popular")
	records = records.With("popular", popular.WithQuarantine(from))
	isDueAfter := func(d time.Duration, parts ...string) bool {
		_, isDue := isProbe(records, from.Add(d), parts...)
		return isDue
	}
	assert.Assert(t, isDueAfter(500*time.Millisecond, "popular", "rare"), "it was at few of the crashes")
	assert.Assert(t, !isDueAfter(900*time.Millisecond, "popular", "deadly"))
	assert.Assert(t, isDueAfter(time.Second, "popular", "deadly"), "there may be no other requests with the part")
}

// Guards against twice as many probes of a deadly part as needed: after one of the part alone had crashed a server, another
// was sent with a part that came with it.
func TestPartThatCrashedAServerAloneIsNotProbedWithOthersMeanwhile(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"deadly": {1, 2, 3}, "companion": {1, 2, 3}})
	deadly, _ := records.Get("deadly")
	deadly = deadly.WithQuarantine(from).WithProbe(false, 0, from.Add(time.Second)).WithFailedProbe(from.Add(2 * time.Second))
	records = records.With("deadly", deadly)
	_, isDue := isProbe(records, from.Add(10*time.Second), "deadly", "companion")
	assert.Assert(t, !isDue)
	_, isDue = isProbe(records, from.Add(12*time.Second), "deadly", "companion")
	assert.Assert(t, isDue)
}

// Guards against the same if both parts are in quarantine: what all requests share is probed by others, while the deadly part
// and its crashes have a plan of their own.
func TestProbeWithSeveralQuarantinedPartsBlamesTheRarest(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"popular": {1, 2, 3}, "deadly": {1, 2, 3}, "some": {1, 2}})
	for _, part := range []relay.PartID{"popular", "deadly"} {
		record, _ := records.Get(part)
		records = records.With(part, record.WithQuarantine(from).WithRejection())
	}
	popular, _ := records.Get("popular")
	records = records.With("popular", popular.WithRejection())
	now := from.Add(time.Second)
	probe, isDue := isProbe(records, now, "popular", "deadly")
	assert.Assert(t, isDue)
	assert.DeepEqual(t, probe, query.Probe{Part: "deadly", IsTogether: true})
	deadly, _ := records.Get("deadly")
	deadly = deadly.WithProbe(true, 0, now)
	_, isDue = isProbe(records.With("deadly", deadly), now, "popular", "some")
	assert.Assert(t, !isDue, "the other probe may crash the same server")
	records = records.With("deadly", deadly.WithFailedProbe(now))
	_, isDue = isProbe(records, now, "popular", "deadly")
	assert.Assert(t, !isDue)
	probe, isDue = isProbe(records, now, "popular", "some")
	assert.Assert(t, isDue)
	assert.DeepEqual(t, probe, query.Probe{Part: "popular", IsTogether: true})
}
