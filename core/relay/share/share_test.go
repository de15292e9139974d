package share_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/share"
)

type rates = map[relay.AccountName]func(time.Duration) float64

func sortedAccounts(m rates) []relay.AccountName {
	return slices.Sorted(maps.Keys(m))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func surge(before, after float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < surgeAt {
			return before
		}
		return after
	}
}

func (f *fleet) all(account relay.AccountName) count {
	a, b := f.counts[account], f.large[account]
	return count{a.offered + b.offered, a.inTime + b.inTime, a.answered + b.answered, a.refused + b.refused, a.expired + b.expired}
}

func (c count) rate(n int) float64 { return float64(n) / float64(max(1, c.offered)) }

var (
	twoAccounts   = rates{"small": steady(20), "surging": surge(20, 160)}
	threeAccounts = rates{"large": steady(30), "middle": steady(25), "small": steady(5)}
	twoRanks      = load{rates: rates{"urgent": surge(25, 50), "other": surge(25, 50)}, ranks: map[relay.AccountName]int{"other": 4}}
	crest         = rates{"large": surge(25, 50), "middle": surge(20, 40), "small": surge(5, 10)}
)

// least is the part of its requests that an account must get in time and before the deadline.
type least struct{ inTime, answered float64 }

// Guards against requests that wait until they are late because of an account with eight times its usual load, a crest, lost
// servers, missing reports or an instance that has just restarted, and against accounts and ranks that get nothing.
func TestAccountsGetTheirPartInTimeUnderEachLoad(t *testing.T) {
	lost := func(at time.Duration) int {
		if at < surgeAt {
			return 0
		}
		return servers / 3
	}
	held := map[relay.AccountName]least{"small": {0.75, 0.95}, "surging": {0.15, 0.25}}
	for name, c := range map[string]struct {
		load  load
		least map[relay.AccountName]least
	}{
		"two accounts, one with eight times its load": {load{rates: twoAccounts}, held},
		"the same, the reports stop":                  {load{rates: twoAccounts, reportsStop: 30 * time.Second}, held},
		"the same, no report ever":                    {load{rates: twoAccounts, reportsStop: 1}, held},
		"the same, an instance restarts":              {load{rates: twoAccounts, restarts: 30 * time.Second}, held},
		"a crest of all accounts":                     {load{rates: crest}, map[relay.AccountName]least{"large": {0.35, 0.5}, "middle": {0.35, 0.5}, "small": {0.75, 0.95}}},
		"a third of the servers lost":                 {load{rates: threeAccounts, lost: lost}, map[relay.AccountName]least{"large": {0.45, 0.6}, "middle": {0.45, 0.6}, "small": {0.75, 0.95}}},
		"one account four ranks less urgent":          {twoRanks, map[relay.AccountName]least{"urgent": {0.75, 0.85}, "other": {0.15, 0.25}}},
	} {
		t.Run(name, func(t *testing.T) {
			with, without := play(c.load, true), play(c.load, false)
			for _, account := range sortedAccounts(c.load.rates) {
				a, b := with.all(account), without.all(account)
				t.Logf("%s: in time %.3f of requests with admission, %.3f without; answered before the deadline %.3f, %.3f; refused for good %.3f",
					account, a.rate(a.inTime), b.rate(b.inTime), a.rate(a.answered), b.rate(b.answered), a.rate(a.refused))
				assert.Assert(t, a.rate(a.inTime) > c.least[account].inTime && a.rate(a.answered) > c.least[account].answered, "%s: %+v", account, a)
				assert.Assert(t, a.inTime > 5*b.inTime, "%s: %+v, before: %+v", account, a, b)
				large := with.large[account]
				assert.Assert(t, large.rate(large.answered) > 0.7*a.rate(a.answered), "%s: large requests are refused for their size: %+v", account, large)
			}
		})
	}
}

// Guards against servers that idle while requests are refused, accounts that are cut differently although they grow alike, and
// less urgent requests that go first.
func TestSheddingIsEvenAndKeepsServersBusy(t *testing.T) {
	with, without := play(load{rates: twoAccounts}, true), play(load{rates: twoAccounts}, false)
	small, before := with.all("small"), without.all("small")
	assert.Assert(t, small.rate(small.answered) > 1.3*before.rate(before.answered))
	assert.Assert(t, small.answered+with.all("surging").answered > (before.answered+without.all("surging").answered)/2)
	with = play(load{rates: crest}, true)
	large, middle := with.all("large"), with.all("middle")
	ratio := large.rate(large.answered) / middle.rate(middle.answered)
	assert.Assert(t, ratio > 0.85 && ratio < 1.18, "%.2f", ratio)
	with = play(twoRanks, true)
	assert.Assert(t, with.all("urgent").inTime > 2*with.all("other").inTime)
}

// Guards against refusals while there is room, in spite of accounts of different sizes.
func TestNothingIsRefusedWithoutContention(t *testing.T) {
	with := play(load{rates: rates{"large": steady(30), "middle": steady(15), "small": steady(2)}}, true)
	for account := range with.counts {
		c := with.all(account)
		assert.Assert(t, c.refused == 0 && c.inTime == c.offered, "%s: %+v", account, c)
	}
}

// Guards against a request that is sent although it can't be answered in time, or refused although it can, and against a
// time to come back that the caller doesn't have.
func TestRequestThatCannotBeAnsweredInTimeIsRefused(t *testing.T) {
	const hashes = 640
	now := time.Unix(5000, 0)
	for name, c := range map[string]struct {
		wait, run, left time.Duration
		refused         bool
	}{
		"first event in time":     {wait: time.Second, left: 2 * time.Second},
		"first event too late":    {wait: 2 * time.Second, left: 2 * time.Second, refused: true},
		"end of a stream in time": {wait: time.Second, run: time.Second, left: 3 * time.Second},
		"end too late":            {wait: time.Second, run: 2 * time.Second, left: 3 * time.Second, refused: true},
		"no time left":            {left: 0, refused: true},
	} {
		admitted := 0
		for hash := range uint64(hashes) {
			v := share.Decide(share.Request{Wait: c.wait, Run: c.run, Left: c.left, Hash: hash * (1 << 63 / hashes * 2)}, share.Pressure{}, share.Totals{}, now)
			if v.Admitted {
				admitted++
				continue
			}
			refusal := v.Refusal()
			assert.Assert(t, refusal.NotRun && refusal.RetryAfter <= c.left/3 && refusal.Reason == relay.ReasonDeadlineTooNear, "%s: %+v", name, refusal)
		}
		if !c.refused {
			assert.Equal(t, admitted, hashes, name)
			continue
		}
		assert.Assert(t, admitted > 0 && admitted < hashes/16, "%s: %d of %d are admitted; a few must, to correct a wrong estimate", name, admitted, hashes)
	}
}

// Guards against a caller that comes back at the stated time and is refused as easily as one that has not waited.
func TestCallerThatComesBackIsAdmittedMoreEasily(t *testing.T) {
	const hashes = 4096
	now := time.Unix(5000, 0)
	own := []relay.AccountUse{{Account: "a", Offered: 100, Admitted: 60, Usual: 10}}
	totals, pressure := share.Ledger{}.Totals("", own, now), share.Pressure{}.With(time.Second, time.Second, now)
	first, returned, back := 0, 0, 0
	for hash := range uint64(hashes) {
		r := share.Request{Account: "a", Objective: time.Second, Left: 6 * time.Second, Wait: time.Second, Hash: hash << 52}
		v := share.Decide(r, pressure, totals, now)
		if v.Admitted {
			first++
			continue
		}
		returned++
		r.Left -= v.RetryAfter
		if share.Decide(r, pressure, totals, now.Add(v.RetryAfter)).Admitted {
			back++
		}
	}
	once, again := float64(first)/hashes, float64(back)/float64(returned)
	t.Logf("admitted at first: %.2f, when they come back: %.2f", once, again)
	assert.Assert(t, once > 0.05 && again > 1.2*once)
}

// Guards against reports of an older build, which state nothing, and against numbers that would spoil the sums.
func TestOddReportsChangeNothing(t *testing.T) {
	now := time.Unix(5000, 0)
	own := []relay.AccountUse{{Account: "a", Offered: 3, Admitted: 2, Usual: 1}}
	ledger := share.Ledger{}
	for _, report := range []relay.UseReport{{}, {From: "x", Instances: 1, Accounts: []relay.AccountUse{{Account: "a", Offered: -1}}}} {
		ledger = ledger.With(report, now)
	}
	sum, _ := ledger.Sum("self", own, now)
	assert.DeepEqual(t, sum, relay.UseReport{Instances: 1, Accounts: own})
	ledger = ledger.With(relay.UseReport{From: "x", Instances: 1, Accounts: own}, now)
	sum, age := ledger.Sum("self", own, now.Add(time.Second))
	assert.Equal(t, sum.Accounts[0].Offered, 6.0)
	assert.Equal(t, age, time.Second)
	sum, _ = ledger.Sum("self", own, now.Add(time.Minute))
	assert.Equal(t, sum.Accounts[0].Offered, 3.0, "a report of an instance that is gone must not count for long")
}
