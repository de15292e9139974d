package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

func crashed(r relay.PartRecord, servers int, from time.Time) relay.PartRecord {
	for n := range servers {
		r = r.WithCrash(relay.Crash{Server: uint64(n), At: from.Add(time.Duration(n) * time.Millisecond)}, from)
	}
	return r
}

// Guards against counting one crash several times: each request that the server had, and each instance, reports it.
func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	at := time.Unix(1000, 0)
	one := crashed(relay.PartRecord{}, 3, at)
	other := crashed(relay.PartRecord{}, 4, at.Add(50*time.Millisecond))
	assert.Equal(t, len(one.Merged(other, at).Crashes), 4)
	passedOn := relay.ReportOf("p", other, at.Add(time.Second)).Record(at.Add(time.Second))
	assert.Equal(t, len(other.Merged(passedOn, at).Crashes), 4)
}

// Guards against counting a server that is still down as crashed again: what all requests share would soon be in more
// crashes than the part that causes them.
func TestServerThatIsLostAgainWhileItIsDownCountsOnce(t *testing.T) {
	at := time.Unix(1000, 0)
	lostAfter := func(d time.Duration, hasHead bool) int {
		r := relay.PartRecord{}.WithCrash(relay.Crash{Server: 1, At: at, HeadReceived: true}, at)
		return len(r.WithCrash(relay.Crash{Server: 1, At: at.Add(d), HeadReceived: hasHead}, at).Crashes)
	}
	assert.Equal(t, lostAfter(2*time.Second, false), 1)
	assert.Equal(t, lostAfter(2*time.Second, true), 2, "it was back, as it began to answer")
	assert.Equal(t, lostAfter(4*time.Second, false), 2)
}

// Guards against a server that counts as back although something in front of it only took a connection and closed it.
func TestServerIsBackOnlyIfItHadTheRequestForAWhile(t *testing.T) {
	at := time.Unix(1000, 0)
	hasReturned := func(lastLoss time.Time, had time.Duration) bool {
		return relay.Crash{Server: 1, At: at.Add(had)}.WithHistory(lastLoss, at, false).HadReturned
	}
	assert.Assert(t, hasReturned(at.Add(-time.Second), 20*time.Millisecond))
	assert.Assert(t, !hasReturned(at.Add(-time.Second), 2*time.Millisecond))
	assert.Assert(t, !hasReturned(time.Time{}, 20*time.Millisecond), "it was not lost before")
}

// Guards against more and more requests with a deadly part at servers that refuse them or answer with errors: a probe that
// showed nothing was repeated every two seconds.
func TestProbesThatShowNothingComeMoreRarely(t *testing.T) {
	now := time.Unix(1000, 0)
	pauses := func(hasReached bool) []time.Duration {
		r := crashed(relay.PartRecord{}, 3, now).WithQuarantine(now)
		var pauses []time.Duration
		for range 4 {
			r = r.WithProbe(false, 0, now).WithInconclusiveProbe(hasReached, now)
			pauses = append(pauses, r.Alone.Next.Sub(now))
		}
		return pauses
	}
	r := crashed(relay.PartRecord{}, 3, now).WithQuarantine(now)
	for _, pause := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second} {
		r = r.WithProbe(false, 0, now)
		assert.Equal(t, r.Alone.Next.Sub(now), pause, "the one before was given up at a slow server")
	}
	assert.DeepEqual(t, pauses(true), []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 10 * time.Second})
	const unsent = 500 * time.Millisecond
	assert.DeepEqual(t, pauses(false), []time.Duration{unsent, unsent, unsent, unsent})
}

// Guards against a quarantine that comes back: an instance that hasn't heard of an answer yet still reports the part.
func TestStartEndsQuarantineAlsoAgainstOlderReports(t *testing.T) {
	at := time.Unix(1000, 0)
	quarantined := crashed(relay.PartRecord{}, 6, at).WithQuarantine(at.Add(time.Second))
	released := quarantined.WithStart(at.Add(2*time.Second), at.Add(2*time.Second))
	assert.Assert(t, quarantined.IsQuarantined() && !released.IsQuarantined())
	assert.Assert(t, !released.Merged(quarantined, at.Add(3*time.Second)).IsQuarantined())
	assert.Assert(t, !quarantined.Merged(released, at.Add(3*time.Second)).IsQuarantined())
}

// Guards against a quarantine that comes back when reports of it were in transit for longer than the release is old, as at a
// paused instance: their crashes, whose ages don't include that time, seem to be newer than the release.
func TestDelayedReportDoesNotUndoReleaseFromQuarantine(t *testing.T) {
	at := time.Unix(1000, 0)
	after := func(s time.Duration) time.Time { return at.Add(s * time.Second) }
	quarantined := crashed(relay.PartRecord{}, 6, at).WithQuarantine(after(1))
	report := relay.ReportOf("p", quarantined, after(1))
	released := quarantined.WithStart(after(2), after(2))
	merged := released.Merged(report.Record(after(5)), after(5))
	assert.Assert(t, !merged.IsQuarantined())
	assert.Equal(t, len(merged.Crashes), 0, "they are older than the release")
	assert.Equal(t, merged.UpdatedAt, after(5), "the other instance must learn of the release")
	misled := relay.PartRecord{}.Merged(report.Record(after(5)), after(5))
	assert.Assert(t, misled.IsQuarantined(), "an instance that knows nothing believes the report")
	told := misled.Merged(relay.ReportOf("p", merged, after(5)).Record(after(5)), after(5))
	assert.Assert(t, !told.IsQuarantined() && len(told.Crashes) == 0, "until it hears of the release")
}

// Guards against a release that hides the part for good: crashes after it must quarantine the part again at all instances.
func TestCrashesAfterReleaseQuarantineAgain(t *testing.T) {
	at := time.Unix(1000, 0)
	later := at.Add(10 * time.Second)
	released := crashed(relay.PartRecord{}, 6, at).WithQuarantine(at).WithStart(at.Add(time.Second), at.Add(time.Second))
	own := crashed(relay.PartRecord{}, 3, later)
	learned := own.Merged(released, later.Add(time.Second))
	assert.Equal(t, len(learned.Crashes), 3, "its own crashes are known to be newer than the release")
	again := learned.WithQuarantine(later.Add(time.Second))
	assert.Assert(t, released.Merged(relay.ReportOf("p", again, later).Record(later), later).IsQuarantined())
}
